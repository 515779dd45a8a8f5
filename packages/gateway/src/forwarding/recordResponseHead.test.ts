import * as metrics from 'prom-client';
import * as vitest from 'vitest';
import type { ResponseHead } from '../contracts/RequestCodec.js';
import { ChoiceMetrics } from '../routing/ChoiceMetrics.js';
import { ReplicaLoads } from '../routing/ReplicaLoads.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { recordResponseHead } from './recordResponseHead.js';

const modelReference = { model: 'm', adapter: 'x' };
const replica = sampleReplica({ models: [{ name: 'm', adapters: ['x'] }] });

function loadsAfter(changes: Partial<ResponseHead>): ReplicaLoads {
  const loads = new ReplicaLoads();
  const choiceMetrics = new ChoiceMetrics(new metrics.Registry());
  const context = {
    loads,
    choiceMetrics,
    log: silentLogger,
    markReplicaLeaving: () => undefined,
    rateLimits: { recordResponse: () => undefined },
  };
  const head = { status: 421, notExecuted: false, fromOtherReplica: true, leaving: false, ...changes };
  const complete = { ...head, contentEncoded: false, isSigned: false };
  recordResponseHead(context as never, replica, modelReference, complete, 0);
  return loads;
}

vitest.describe('an answer 421', () => {
  vitest.test.each([
    ['without an id', {}, true],
    ['with the id of the replica', { replicaId: replica.id }, true],
    ['with another id', { replicaId: 'other' }, false],
    ['of another status', { status: 503, fromOtherReplica: false }, false],
  ])('%s (guards against sends for a model that the replica lacks)', (_name, changes, isAbsent) => {
    const loads = loadsAfter(changes);
    vitest.expect(loads.absentModels.isAbsent(replica, modelReference)).toBe(isAbsent);
    vitest.expect(loads.absentModels.isAbsent(replica, { model: 'm' })).toBe(false);
    vitest.expect(loads.absentModels.isAbsent({ ...replica, orderSequence: 1 }, modelReference)).toBe(false);
    vitest.expect(loadsAfter(changes).absentModels.isAbsent({ ...replica, bornMs: 2 }, modelReference)).toBe(false);
  });

  vitest.test('with another id keeps requests away for a time (guards against sends to a reused address)', () => {
    const loads = loadsAfter({ replicaId: 'other' });
    vitest.expect(loads.backoffMs(replica.id, 0)).toBeGreaterThan(0);
    vitest.expect(loads.unreachable(0)).toEqual([]);
  });
});
