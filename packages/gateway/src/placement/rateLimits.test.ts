import * as vitest from 'vitest';
import { placedReplica } from '../testing/placedReplica.js';
import { estimateReady } from './estimateReady.js';
import { planAdapters } from './planAdapters.js';
import { planModels } from './planModels.js';
import { rateLimitedSlots } from './rateLimits.js';
import type { Demand, PlacedReplica, PlacementInput } from './Types.js';

const nowMs = 100_000;
const model = {
  name: 'm',
  weightMegabytes: 60_000,
  adapterMegabytes: 40,
  loadMs: { memory: 300, disk: 500, store: 6_000 },
};
const held = { name: 'm', adapters: [{ name: 'a1', lastUsedMs: 0 }], running: 2, readySinceMs: 0 };
const demand: Demand = {
  modelReference: { model: 'm', adapter: 'a1' },
  waiting: 3,
  slackMs: 100,
  requiredVersions: [],
  unservedMs: 1_000,
  ratePerSecond: 4,
  latencyTargetMs: 250,
};

/** A replica that holds the model and has a rate limit with a backlog of the given length. */
function limitedReplica(backlogMs: number): PlacedReplica {
  return placedReplica('limited', { models: [held], running: 2, rateLimit: { perSecond: 1.6, backlogMs } });
}

function input(replicas: readonly PlacedReplica[]): PlacementInput {
  return {
    models: new Map([['m', model]]),
    replicas,
    demands: [demand],
    mayLoadMissing: true,
    maximumStoreLoads: 4,
  };
}

vitest.describe('placement with a rate limit of a replica', () => {
  const other = placedReplica('other', { onDisk: new Set(['m']) });

  vitest.test(
    'loads a model elsewhere once its requests wait (guards against models bound to a limited replica)',
    () => {
      const plan = planModels(input([limitedReplica(2_000), other]), nowMs);
      vitest.expect(plan.orders).toMatchObject([{ replicaId: 'other', kind: 'load', model: 'm', reason: 'waiting' }]);
      vitest.expect(planModels(input([limitedReplica(0), other]), nowMs).orders).toEqual([]);
    },
  );

  vitest.test('loads an adapter on another copy as well (guards against adapters bound to a limited replica)', () => {
    const copy = placedReplica('copy', { models: [{ ...held, adapters: [] }] });
    const orders = planAdapters(input([limitedReplica(2_000), copy]), nowMs);
    vitest.expect(orders).toMatchObject([{ replicaId: 'copy', kind: 'load', adapter: 'a1' }]);
    vitest.expect(planAdapters(input([limitedReplica(0), copy]), nowMs)).toEqual([]);
  });

  vitest.test('promises another copy only while it is loaded (guards against waits for a load nobody ordered)', () => {
    vitest.expect(estimateReady(input([limitedReplica(2_000), other]), nowMs)).toEqual([]);
    const order = { kind: 'load', model: 'm', tier: 'disk', expectedDoneMs: nowMs + 400 } as const;
    const estimates = estimateReady(input([limitedReplica(2_000), { ...other, order }]), nowMs);
    vitest.expect(estimates).toEqual([{ model: 'm', readyInMs: 400 }]);
  });

  vitest.test('counts only the slots that the limit keeps occupied (guards against copies that count in full)', () => {
    vitest.expect(rateLimitedSlots(16, { perSecond: 1.6, backlogMs: 0 })).toBe(2);
    vitest.expect(rateLimitedSlots(16, { perSecond: 0, backlogMs: 0 })).toBe(1);
    vitest.expect(rateLimitedSlots(16, undefined)).toBe(16);
  });
});
