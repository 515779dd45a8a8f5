import * as vitest from 'vitest';
import { ReplicaLoads } from '../routing/ReplicaLoads.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import type { Instant, Replica, Route } from '../Types.js';
import { decideDispatch, type DispatchContext, type DispatchInput } from './decideDispatch.js';

const nowMs = 10_000;
const now: Instant = { steadyMs: nowMs, wallMs: nowMs };
const modelReference = { model: 'm' };
const holder = sampleReplica({ models: [{ name: 'm', adapters: [] }], slots: 4 });

const route: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  kind: 'stream',
  timeoutMs: 8_000,
  latencyTargetMs: 500,
  maximumAttempts: 1,
  priority: 1,
  services: [],
  resumable: false,
  eventGapMs: 150,
  isKeyless: false,
};

const request: DispatchInput = {
  service: 's',
  route,
  modelReference,
  promptPartIds: [],
  suspectableParts: [],
  excluded: new Set(),
  mayHaveRun: false,
  waitedMs: 0,
  urgency: 2,
  tenantName: undefined,
  exceedsShare: false,
  lateAtMs: 10_500,
  timeLeftMs: 8_000,
  requiredVersion: undefined,
  firstByteTimeLeftMs: 2_000,
};

function context(replicas: readonly Replica[], changes: Partial<DispatchContext> = {}): DispatchContext {
  return {
    crashGuard: { check: () => ({ kind: 'free' }), hasGrant: () => false },
    directory: { usable: () => replicas },
    loads: new ReplicaLoads(),
    rateLimits: { maySend: () => true, expectedWaitMs: () => undefined },
    streams: { mayBegin: () => true },
    waitingRequests: { countAhead: () => 0, isHeldFor: () => false },
    failureDomain: 'a',
    hasIdleConnection: () => false,
    random: () => 0,
    readyInMs: () => undefined,
    awaitsFirstLeader: () => false,
    returnSpreadMs: () => 0,
    longestRequestMs: () => Number.POSITIVE_INFINITY,
    ...changes,
  };
}

function loadsWith(running: number): ReplicaLoads {
  const loads = new ReplicaLoads();
  for (let count = 0; count < running; count += 1) {
    loads.recordStart(holder.id, modelReference, []);
  }
  loads.recordRun(holder.id, 1_000);
  return loads;
}

vitest.describe('dispatch decision', () => {
  vitest.test('sends a request to a replica that holds its model', () => {
    vitest.expect(decideDispatch(request, context([holder]), now)).toEqual({ kind: 'send', replica: holder });
  });

  vitest.test(
    'refuses a request that would leave the queue after its caller disconnects (guards against useless queueing)',
    () => {
      const decision = decideDispatch(request, context([holder], { loads: loadsWith(40) }), now);
      vitest.expect(decision).toMatchObject({ kind: 'refuse', reason: 'the queue of every replica is too long' });
    },
  );

  vitest.test(
    'returns times that a caller honours (guards against callers that return early to the same queue)',
    () => {
      const decision = decideDispatch(request, context([holder], { loads: loadsWith(15) }), now);
      // At most one third of the 8 s that are left.
      vitest
        .expect(decision)
        .toMatchObject({ promise: { window: { isServed: true }, capacity: { key: `queue ${holder.id}` } } });
      vitest.expect(decision.kind === 'refuse' && decision.promise?.window.lastMs).toBeLessThan(8_000 / 3);
    },
  );

  vitest.test('holds a tenant that exceeds its share while the replica is full (guards against unfair queues)', () => {
    const exceeding = { ...request, exceedsShare: true };
    const full = context([holder], { loads: loadsWith(4) });
    vitest.expect(decideDispatch(request, full, now).kind).toBe('send');
    vitest.expect(decideDispatch(exceeding, full, now)).toEqual({ kind: 'wait', heldFor: 's m' });
    vitest.expect(decideDispatch({ ...exceeding, mayHaveRun: true }, full, now).kind).toBe('send');
    vitest.expect(decideDispatch({ ...exceeding, firstByteTimeLeftMs: 200 }, full, now).kind).toBe('refuse');
  });

  vitest.test('never refuses a request that may have run (guards against false refusals)', () => {
    const busy = context([holder], { loads: loadsWith(40), longestRequestMs: () => 0 });
    vitest.expect(decideDispatch({ ...request, mayHaveRun: true }, busy, now).kind).toBe('send');
  });

  vitest.test(
    'queues a request if its model is ready in time, else returns the ready time (guards against useless waiting)',
    () => {
      const absent = sampleReplica();
      const soon = context([absent], { readyInMs: () => 1_000 });
      vitest.expect(decideDispatch(request, soon, now)).toEqual({ kind: 'wait' });
      const late = context([absent], { readyInMs: () => 13_000 });
      vitest.expect(decideDispatch(request, late, now)).toMatchObject({ kind: 'refuse', retryAfterMs: 13_000 });
    },
  );

  vitest.test('waits for a model though its caller has the first byte long since (guards against cut streams)', () => {
    const begun = { ...request, mayHaveRun: true, firstByteTimeLeftMs: -1_000 };
    const soon = context([sampleReplica()], { readyInMs: () => 400 });
    vitest.expect(decideDispatch(begun, soon, now).kind).toBe('wait');
    vitest.expect(decideDispatch({ ...begun, mayHaveRun: false }, soon, now).kind).toBe('refuse');
  });

  vitest.test(
    'returns the remaining back-off time that a replica requested (guards against retries that come too early)',
    () => {
      const loads = new ReplicaLoads();
      loads.recordBackoff(holder.id, 3_000, nowMs);
      const decision = decideDispatch({ ...request, modelReference: undefined }, context([holder], { loads }), now);
      vitest.expect(decision).toMatchObject({ kind: 'refuse', retryAfterMs: 3_000 });
    },
  );

  vitest.test('waits for replicas, models and permits after a power loss (guards against early refusals)', () => {
    const afterPowerLoss = { awaitsFirstLeader: () => true };
    const waited = { ...request, waitedMs: 1_500, firstByteTimeLeftMs: 500 };
    const plain = { ...waited, modelReference: undefined };
    vitest.expect(decideDispatch(plain, context([]), now).kind).toBe('refuse');
    vitest.expect(decideDispatch(plain, context([], afterPowerLoss), now).kind).toBe('wait');
    vitest.expect(decideDispatch(waited, context([], afterPowerLoss), now).kind).toBe('wait');
    const rateLimits = { maySend: () => false, expectedWaitMs: () => undefined };
    vitest.expect(decideDispatch(waited, context([holder], { rateLimits }), now).kind).toBe('refuse');
    vitest.expect(decideDispatch(waited, context([holder], { rateLimits, ...afterPowerLoss }), now).kind).toBe('wait');
    const leaving = { ...plain, firstByteTimeLeftMs: 250 };
    vitest.expect(decideDispatch(leaving, context([], afterPowerLoss), now).kind).toBe('refuse');
  });

  vitest.test('refuses a request that may outlast the stop (guards against streams cut by a planned stop)', () => {
    const stopping = context([holder], { longestRequestMs: () => 5_000 });
    vitest.expect(decideDispatch(request, stopping, now)).toMatchObject({ reason: 'this daemon stops' });
  });

  vitest.describe('with a rate limit of a replica', () => {
    const other = sampleReplica({ id: 'r2', models: [{ name: 'm', adapters: [] }], slots: 4 });

    /** Without a permit for `holder`, which would come after `waitMs`. */
    function withoutPermit(replicas: readonly Replica[], waitMs: number | undefined): DispatchContext {
      const rateLimits = { maySend: (id: string) => id !== holder.id, expectedWaitMs: () => waitMs };
      return context(replicas, { rateLimits });
    }

    vitest.test(
      'uses another replica and reports the preferred one (guards against limits that are never used)',
      () => {
        const decision = decideDispatch(request, withoutPermit([holder, other], 0), now);
        vitest.expect(decision).toEqual({ kind: 'send', replica: other, preferredReplicaId: holder.id });
      },
    );

    vitest.test(
      'waits for its turn if it comes in time, also without a model (guards against needless refusals)',
      () => {
        const wait = { kind: 'wait', limitedReplicaId: holder.id };
        vitest.expect(decideDispatch(request, withoutPermit([holder], 600), now)).toEqual(wait);
        const plainRequest = { ...request, modelReference: undefined };
        vitest.expect(decideDispatch(plainRequest, withoutPermit([holder], 600), now)).toEqual(wait);
      },
    );

    vitest.test('refuses at once with the time of the turn (guards against requests held in vain)', () => {
      const decision = decideDispatch(request, withoutPermit([holder], 2_600), now);
      vitest.expect(decision).toMatchObject({ kind: 'refuse', retryAfterMs: 2_600 });
    });

    vitest.test('waits for another copy that is ready sooner than its turn', () => {
      const loading = { ...withoutPermit([holder], 2_600), readyInMs: () => 500 };
      vitest.expect(decideDispatch(request, loading, now).kind).toBe('wait');
    });
  });
});

vitest.describe('dispatch of a stream that has begun', () => {
  const resumable = { ...request, route: { ...route, resumable: true } };
  const other = { ...holder, id: 'r2', softwareVersion: 'v2' };

  vitest.test('goes only to the version that began it (guards against streams joined from two versions)', () => {
    const decision = decideDispatch({ ...resumable, requiredVersion: 'v2' }, context([holder, other]), now);
    vitest.expect(decision).toEqual({ kind: 'send', replica: other });
  });

  vitest.test('is refused at once without a replica of its version (guards against waits that cannot succeed)', () => {
    const decision = decideDispatch({ ...resumable, requiredVersion: 'v3' }, context([holder, other]), now);
    vitest.expect(decision).toMatchObject({ kind: 'refuse' });
    vitest.expect(decision).not.toHaveProperty('retryAfterMs');
  });

  vitest.test(
    'joins a long queue that a new stream is kept out of (guards against the loss of half-delivered streams)',
    () => {
      const loads = loadsWith(40);
      vitest.expect(decideDispatch(resumable, context([holder], { loads }), now).kind).toBe('refuse');
      vitest
        .expect(decideDispatch({ ...resumable, requiredVersion: 'v1' }, context([holder], { loads }), now).kind)
        .toBe('send');
    },
  );

  vitest.test(
    'begins at no version that is not stored yet (guards against origins that a lost leader cannot prove)',
    () => {
      const streams = { mayBegin: (_service: string, version: string): boolean => version !== 'v1' };
      vitest.expect(decideDispatch(resumable, context([holder], { streams }), now).kind).toBe('wait');
      vitest.expect(decideDispatch(request, context([holder], { streams }), now).kind).toBe('send');
      const decision = decideDispatch(resumable, context([holder, other], { streams }), now);
      vitest.expect(decision).toEqual({ kind: 'send', replica: other });
    },
  );
});
