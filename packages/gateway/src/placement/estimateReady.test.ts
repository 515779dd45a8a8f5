import * as vitest from 'vitest';
import { placedReplica } from '../testing/placedReplica.js';
import { estimateReady } from './estimateReady.js';
import { planModels } from './planModels.js';
import { StoreLoadLimiter } from './StoreLoadLimiter.js';
import { nextStoreLoads } from './weights.js';
import type { Demand, OrderInProgress, PlacedReplica, PlacementInput } from './Types.js';

const nowMs = 100_000;
const loadMs = { memory: 300, disk: 500, store: 13_200 } as const;

const specification = { name: 'm', weightMegabytes: 60_000, adapterMegabytes: 40, loadMs };
const baseDemand: Demand = {
  modelReference: { model: 'm' },
  waiting: 1,
  slackMs: 1_000,
  requiredVersions: [],
  unservedMs: 0,
  ratePerSecond: 5,
  latencyTargetMs: 250,
};

function input(replicas: readonly PlacedReplica[], demand: Partial<Demand> = {}): PlacementInput {
  return {
    models: new Map([['m', specification]]),
    replicas,
    demands: [{ ...baseDemand, ...demand }],
    mayLoadMissing: true,
    maximumStoreLoads: 4,
  };
}

function loadingReplica(expectedDoneMs: number): PlacedReplica {
  const order: OrderInProgress = { kind: 'load', model: 'm', tier: 'store', expectedDoneMs };
  return placedReplica('r', { order });
}

vitest.describe('estimate of the time until a model is ready', () => {
  vitest.test('is the remaining time of a load in progress', () => {
    vitest
      .expect(estimateReady(input([loadingReplica(nowMs + 4_000)]), nowMs))
      .toEqual([{ model: 'm', readyInMs: 4_000 }]);
  });

  vitest.test(
    'ranks missing models in the order of the store loads (guards against retry times that are too early)',
    () => {
      const state = input([placedReplica('r')]);
      const hot: Demand = { ...baseDemand, modelReference: { model: 'hot' }, waiting: 0, ratePerSecond: 50 };
      const models = new Map([...state.models, ['hot', { ...specification, name: 'hot' }]]);
      const both = { ...state, models, demands: [baseDemand, hot], maximumStoreLoads: 1 };
      vitest.expect(estimateReady(both, nowMs)).toEqual([{ model: 'm', readyInMs: 2 * loadMs.store }]);
    },
  );

  vitest.test('is the load time from disk (guards against waits that the load time already rules out)', () => {
    const estimates = estimateReady(input([placedReplica('r', { onDisk: new Set(['m']) })]), nowMs);
    vitest.expect(estimates).toEqual([{ model: 'm', readyInMs: loadMs.disk + 40 }]);
  });

  vitest.test('adds what the replica has to do before (guards against waits for a busy replica)', () => {
    const onDisk = new Set(['m']);
    const order: OrderInProgress = { kind: 'load', model: 'a', tier: 'store', expectedDoneMs: nowMs + 4_000 };
    const loading = placedReplica('r', { onDisk, order });
    const state = input([loading]);
    const models = new Map([...state.models, ['a', { ...specification, name: 'a' }]]);
    vitest.expect(estimateReady({ ...state, models }, nowMs)[0]?.readyInMs).toBe(4_000 + loadMs.disk + 40);
    const held = { name: 'old', adapters: [], readySinceMs: 0, retiringSinceMs: nowMs - 500 };
    const clearing = { onDisk, clearingFor: 'm', running: 1, models: [{ ...held, running: 1 }] };
    // One running request ends after 1.2 s in the mean, and the unload takes 15 ms.
    vitest
      .expect(estimateReady(input([placedReplica('r', clearing)]), nowMs)[0]?.readyInMs)
      .toBe(1_200 + 15 + loadMs.disk + 40);
  });

  vitest.test(
    'is absent while replicas are unknown (guards against refusals by a leader that has just started)',
    () => {
      const state = input([placedReplica('r')]);
      vitest.expect(estimateReady(state, nowMs)).toHaveLength(1);
      vitest.expect(estimateReady({ ...state, mayLoadMissing: false }, nowMs)).toEqual([]);
    },
  );

  vitest.test('loads models that share a replica one after another (guards against one room promised twice)', () => {
    const state = input([placedReplica('r', { onDisk: new Set(['m', 'n']) })]);
    const models = new Map([...state.models, ['n', { ...specification, name: 'n' }]]);
    const second: Demand = { ...baseDemand, modelReference: { model: 'n' }, slackMs: 2_000 };
    const estimates = estimateReady({ ...state, models, demands: [baseDemand, second] }, nowMs);
    vitest.expect(estimates.map(({ readyInMs }) => readyInMs)).toEqual([540, 1_080]);
  });

  vitest.test(
    'uses a store load for callers that still wait at its end (guards against loads that serve nobody)',
    () => {
      const demands: Demand[] = [
        { ...baseDemand, ratePerSecond: 1, waiting: 5, waitingTimeoutMs: 2_000, callerTimeoutMs: 2_000 },
        { ...baseDemand, modelReference: { model: 'n' }, ratePerSecond: 0.2, waitingTimeoutMs: 16_000 },
      ];
      const state = input([placedReplica('r')]);
      const models = new Map([...state.models, ['n', { ...specification, name: 'n' }]]);
      const plan = planModels({ ...state, models, demands, maximumStoreLoads: 1 }, nowMs);
      vitest.expect(plan.orders.map(({ model }) => model)).toEqual(['n']);
    },
  );

  vitest.test('loads the model first that is unserved for longer (guards against waits without end)', () => {
    const state = input([placedReplica('r')], { waiting: 1, ratePerSecond: 0.1, unservedMs: 6_000 });
    const models = new Map([...state.models, ['n', { ...specification, name: 'n' }]]);
    const newer: Demand = { ...baseDemand, modelReference: { model: 'n' }, ratePerSecond: 0.4 };
    const plan = planModels({ ...state, models, demands: [...state.demands, newer], maximumStoreLoads: 1 }, nowMs);
    vitest.expect(plan.orders.map(({ model }) => model)).toEqual(['m']);
  });

  vitest.test('keeps the store load that was promised (guards against one load promised to many callers)', () => {
    const state = input([placedReplica('r')], { ratePerSecond: 0, waitingTimeoutMs: 20_000 });
    const models = new Map([...state.models, ['n', { ...specification, name: 'n' }]]);
    const newer: Demand = { ...baseDemand, modelReference: { model: 'n' }, ratePerSecond: 0.25 };
    const first = { ...state, models, maximumStoreLoads: 1 };
    const second = { ...first, demands: [...first.demands, newer], nextStoreLoads: nextStoreLoads(first) };
    vitest.expect(planModels(second, nowMs).orders.map(({ model }) => model)).toEqual(['m']);
    vitest.expect(estimateReady(second, nowMs).find(({ model }) => model === 'n')?.readyInMs).toBe(2 * loadMs.store);
    const better = { ...second, demands: [...first.demands, { ...newer, waiting: 3 }] };
    vitest.expect(planModels(better, nowMs).orders.map(({ model }) => model)).toEqual(['n']);
  });

  vitest.test('scales with the number of concurrent store loads', () => {
    const limiter = new StoreLoadLimiter();
    const order = { kind: 'load', tier: 'store' } as const;
    vitest.expect(limiter.slowdown(order, 3)).toBe(1);
    limiter.recordLoad(loadMs.store, 2 * loadMs.store, 2);
    vitest.expect(limiter.slowdown(order, 3)).toBe(3);
    vitest.expect(limiter.slowdown({ ...order, adapter: 'a' }, 3)).toBe(1);
  });
});

vitest.describe('demand beyond the capacity of the copies of a model', () => {
  const held = { name: 'm', adapters: [], readySinceMs: 0 };

  vitest.test('adds a copy from the weight store (guards against a permanent queue on the only copy)', () => {
    const replicas = [
      placedReplica('full', { models: [{ ...held, running: 20 }], running: 20 }),
      placedReplica('empty'),
    ];
    const plan = planModels(input(replicas, { waiting: 0 }), nowMs);
    vitest.expect(plan.orders).toMatchObject([{ replicaId: 'empty', model: 'm', tier: 'store', reason: 'secondCopy' }]);
  });

  vitest.test('adds no copy while the existing one has free slots', () => {
    const replicas = [placedReplica('busy', { models: [{ ...held, running: 9 }], running: 9 }), placedReplica('empty')];
    vitest.expect(planModels(input(replicas, { waiting: 0 }), nowMs).orders).toEqual([]);
  });
});
