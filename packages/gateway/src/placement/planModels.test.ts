import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import type { ModelSpecification } from '../Types.js';
import { planAdapters } from './planAdapters.js';
import { planModels } from './planModels.js';
import type { Demand, PlacedModel, PlacedReplica, PlacementInput } from './Types.js';
import { adapterCount, freeMegabytes } from './weights.js';

const nowMs = 100_000;
const capacityMegabytes = 140_000;

function specification(name: string, weightMegabytes = 60_000): ModelSpecification {
  return { name, weightMegabytes, adapterMegabytes: 40, loadMs: { memory: 300, disk: 500, store: 6_000 } };
}

function held(name: string, running = 0, adapters: readonly string[] = []): PlacedModel {
  return { name, running, readySinceMs: 0, adapters: adapters.map((adapter) => ({ name: adapter, lastUsedMs: 0 })) };
}

function replica(id: string, models: readonly PlacedModel[], onDisk: readonly string[] = []): PlacedReplica {
  return {
    id,
    weightMegabytes: capacityMegabytes,
    adapterSlots: 2,
    slots: 16,
    softwareVersion: 'v1',
    takesRequests: true,
    takesOrders: true,
    hasFormerOrder: false,
    slowness: 1,
    models,
    inMemory: new Set(),
    onDisk: new Set(onDisk),
    running: models.reduce((sum, model) => sum + model.running, 0),
  };
}

function demand(model: string, options: Partial<Demand> & { readonly adapter?: string } = {}): Demand {
  const { adapter, ...rest } = options;
  const modelReference = adapter === undefined ? { model } : { model, adapter };
  return {
    modelReference,
    waiting: 0,
    slackMs: Infinity,
    requiredVersions: [],
    unservedMs: 0,
    ratePerSecond: 0.2,
    latencyTargetMs: 2_000,
    ...rest,
  };
}

function input(
  replicas: readonly PlacedReplica[],
  demands: readonly Demand[],
  names: readonly string[],
): PlacementInput {
  const models = new Map(names.map((name) => [name, specification(name)]));
  return { models, replicas, demands, mayLoadMissing: true, maximumStoreLoads: 4 };
}

vitest.describe('placement of models', () => {
  vitest.test('clears the rarely used model, not the busy one that is idle for a moment', () => {
    // Guards against unloading a model with 5 interactive requests per second for one request with a relaxed target.
    const replicas = [replica('r', [held('busy'), held('rare', 1)], ['busy', 'rare', 'wanted'])];
    const demands = [
      demand('busy', { ratePerSecond: 5, latencyTargetMs: 250 }),
      demand('rare'),
      demand('wanted', { waiting: 1, slackMs: 300 }),
    ];
    const plan = planModels(input(replicas, demands, ['busy', 'rare', 'wanted']), nowMs);
    vitest.expect(plan).toMatchObject({ orders: [], clearings: [{ clearingFor: 'wanted', retiring: ['rare'] }] });
  });

  vitest.test('keeps a model in use while the waiting request has time (guards against blocked replicas)', () => {
    const replicas = [replica('r', [held('used', 2), held('used2', 1)], ['wanted'])];
    const demands = [demand('used'), demand('used2'), demand('wanted', { waiting: 1, slackMs: 1_800 })];
    vitest.expect(planModels(input(replicas, demands, ['used', 'used2', 'wanted']), nowMs).orders).toEqual([]);
  });

  vitest.test('waits for a replica with local weights instead of loading from the weight store', () => {
    // Guards against a store load of many seconds for a model that another replica can load in half a second.
    const busy: PlacedReplica = {
      ...replica('copy', [], ['wanted']),
      order: { kind: 'load', model: 'other', tier: 'disk', expectedDoneMs: nowMs + 300 },
    };
    const demands = [demand('wanted', { waiting: 1, slackMs: 0 })];
    vitest
      .expect(planModels(input([busy, replica('empty', [])], demands, ['other', 'wanted']), nowMs).orders)
      .toEqual([]);
  });

  vitest.test('keeps the only copy that requests wait for while another replica is cleared for the model', () => {
    // Guards against counting a replica that is being cleared as a copy: a busy model was unloaded for 5 s.
    const models = [held('x', 1), held('y', 1)];
    const cleared: PlacedReplica = { ...replica('other', models), clearingFor: 'busy', takesOrders: false };
    const replicas = [cleared, replica('copy', [held('busy'), held('x', 1)], ['wanted'])];
    const demands = [
      demand('busy', { waiting: 2, slackMs: 0 }),
      demand('wanted', { waiting: 3, slackMs: 300, ratePerSecond: 5, latencyTargetMs: 250 }),
    ];
    const orders = planModels(input(replicas, demands, ['x', 'y', 'busy', 'wanted']), nowMs).orders;
    vitest.expect(orders.map((order) => order.model)).not.toContain('busy');
  });

  vitest.test('loads from the store when the replica with local weights cannot free memory', () => {
    // Guards against a model that is never loaded because its only local weights are on a full replica.
    const replicas = [replica('copy', [held('hot', 2), held('hot2', 2)], ['wanted']), replica('empty', [])];
    const hot = { ratePerSecond: 20, latencyTargetMs: 250 };
    const demands = [
      demand('hot', hot),
      demand('hot2', hot),
      demand('wanted', { waiting: 1, slackMs: -4_200, unservedMs: 6_200 }),
    ];
    const orders = planModels(input(replicas, demands, ['hot', 'hot2', 'wanted']), nowMs).orders;
    vitest.expect(orders).toMatchObject([{ replicaId: 'empty', kind: 'load', model: 'wanted', tier: 'store' }]);
  });

  vitest.test('includes the waiting time of refused requests in the decision for a store load', () => {
    // Guards against a busy model that is never loaded because each request is refused before it is overdue.
    const busy: PlacedReplica = {
      ...replica('copy', [], ['hot']),
      order: { kind: 'load', model: 'other', tier: 'store', expectedDoneMs: nowMs + 6_000 },
    };
    const hot = demand('hot', {
      waiting: 3,
      slackMs: -200,
      unservedMs: 1_300,
      ratePerSecond: 10,
      latencyTargetMs: 250,
    });
    const orders = planModels(input([busy, replica('empty', [])], [hot], ['other', 'hot']), nowMs).orders;
    vitest.expect(orders).toMatchObject([{ replicaId: 'empty', kind: 'load', model: 'hot', tier: 'store' }]);
  });

  vitest.test('loads the models of a leaving replica elsewhere (guards against a wait until it has stopped)', () => {
    const leaving = { ...replica('leaving', [held('wanted', 2)]), takesRequests: false, takesOrders: false };
    const demands = [demand('wanted', { waiting: 2, slackMs: 100, latencyTargetMs: 250 })];
    const orders = planModels(input([leaving, replica('r', [], ['wanted'])], demands, ['wanted']), nowMs).orders;
    vitest.expect(orders).toMatchObject([{ replicaId: 'r', kind: 'load', model: 'wanted' }]);
  });

  vitest.test('loads from local weights during a long store load (guards against seconds without the model)', () => {
    const order = { kind: 'load', model: 'hot', tier: 'store', expectedDoneMs: nowMs + 5_000 } as const;
    const replicas = [{ ...replica('far', []), order }, replica('copy', [held('rare')], ['hot', 'rare'])];
    const hot = demand('hot', { waiting: 3, slackMs: -200, ratePerSecond: 10, latencyTargetMs: 250 });
    const orders = planModels(input(replicas, [hot], ['hot', 'rare']), nowMs).orders;
    vitest.expect(orders).toMatchObject([{ replicaId: 'copy', kind: 'load', model: 'hot', tier: 'disk' }]);
  });

  vitest.test('uses a store load for the model in highest demand', () => {
    // Guards against a busy model that is queued behind rarely used ones.
    const demands = [
      demand('rare', { waiting: 1, slackMs: -6_000, unservedMs: 8_000 }),
      demand('busy', { waiting: 4, slackMs: -500, unservedMs: 1_300, ratePerSecond: 5, latencyTargetMs: 250 }),
    ];
    const state = {
      ...input([replica('r', []), replica('s', [])], demands, ['rare', 'busy']),
      maximumStoreLoads: 1,
    };
    vitest.expect(planModels(state, nowMs).orders).toMatchObject([{ kind: 'load', model: 'busy' }]);
  });

  vitest.test('uses a store load for a missing model in demand although no request waits for it', () => {
    // Guards against a hot model that is never loaded: its requests are refused at once, so only those of others wait.
    const demands = [demand('rare', { waiting: 1, unservedMs: 8_000 }), demand('hot', { ratePerSecond: 5 })];
    const state = {
      ...input([replica('r', []), replica('s', [])], demands, ['rare', 'hot']),
      maximumStoreLoads: 1,
    };
    vitest.expect(planModels(state, nowMs).orders).toMatchObject([{ kind: 'load', model: 'hot', tier: 'store' }]);
    vitest.expect(planModels({ ...state, mayLoadMissing: false }, nowMs).orders).toEqual([]);
  });

  vitest.test('prefers a missing model to an additional copy (guards against callers that are never served)', () => {
    const full = { ...held('busy', 40) };
    const demands = [
      demand('busy', { ratePerSecond: 10, latencyTargetMs: 250 }),
      demand('missing', { ratePerSecond: 5, latencyTargetMs: 250 }),
    ];
    const replicas = [replica('full', [full]), replica('empty', [])];
    const state = { ...input(replicas, demands, ['busy', 'missing']), maximumStoreLoads: 1 };
    vitest.expect(planModels(state, nowMs).orders).toMatchObject([{ model: 'missing', tier: 'store' }]);
  });

  vitest.test('waits for a load of a former leader (guards against two loads that each take twice as long)', () => {
    const former = { ...replica('former', []), hasFormerOrder: true, takesOrders: false };
    const demands = [demand('missing', { ratePerSecond: 5 })];
    const state = { ...input([former, replica('empty', [])], demands, ['missing']), maximumStoreLoads: 1 };
    vitest.expect(planModels(state, nowMs).orders).toEqual([]);
  });

  vitest.test(
    'loads no missing models while the list of replicas may be incomplete (guards against duplicate loads)',
    () => {
      const known = { ...input([replica('r', [])], [], ['missing']), mayLoadMissing: false };
      vitest.expect(planModels(known, nowMs).orders).toEqual([]);
      const covered = planModels({ ...known, mayLoadMissing: true }, nowMs).orders;
      vitest.expect(covered).toMatchObject([{ kind: 'load', tier: 'store' }]);
    },
  );

  vitest.test('respects the memory and the limit of store loads (guards against overcommitted memory)', () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f'];
    const names$ = fastCheck.subarray(names, { maxLength: 2 });
    const replicas$ = fastCheck.array(fastCheck.tuple(names$, names$, fastCheck.boolean()), { maxLength: 6 });
    const demands$ = fastCheck.array(
      fastCheck.record({
        model: fastCheck.constantFrom(...names),
        waiting: fastCheck.nat(3),
        slackMs: fastCheck.nat(2_000),
      }),
      { maxLength: 8 },
    );
    fastCheck.assert(
      fastCheck.property(replicas$, demands$, (shapes, requestedDemands) => {
        const replicas = shapes.map(([models, onDisk, takesOrders], index) => ({
          ...replica(
            String(index),
            models.map((name) => held(name)),
            onDisk,
          ),
          takesOrders,
        }));
        const demands = requestedDemands.map(({ model, ...rest }) => demand(model, rest));
        const state = input(replicas, demands, names);
        const orders = planModels(state, nowMs).orders;
        const replicaIds = orders.map((order) => order.replicaId);
        vitest.expect(new Set(replicaIds).size).toBe(replicaIds.length);
        vitest
          .expect(orders.filter((order) => order.kind === 'load' && order.tier === 'store').length)
          .toBeLessThanOrEqual(4);
        for (const order of orders) {
          const chosen = replicas.find((one) => one.id === order.replicaId);
          vitest.expect(chosen?.takesOrders).toBe(true);
          if (order.kind === 'load' && chosen !== undefined) {
            vitest.expect(freeMegabytes(chosen, state.models)).toBeGreaterThanOrEqual(60_000);
          }
        }
      }),
    );
  });
});

vitest.describe('clearing of a replica', () => {
  const wanted = demand('wanted', { waiting: 1, slackMs: -100, latencyTargetMs: 250 });
  const names = ['old', 'other', 'wanted'];
  const clearing = (running: number, retiringSinceMs: number): PlacedReplica => ({
    ...replica('r', [{ ...held('old', running), retiringSinceMs }, held('other', 1)], ['old', 'wanted']),
    clearingFor: 'wanted',
  });

  vitest.test('orders no unload while requests run (guards against a replica blocked for seconds)', () => {
    const plan = planModels(input([clearing(1, 0)], [wanted], names), nowMs);
    vitest.expect(plan).toEqual({ orders: [], clearings: [], releases: [] });
  });

  vitest.test('waits for reports of requests in transit (guards against unloads that wait for requests)', () => {
    const plan = planModels(input([clearing(0, nowMs - 100)], [wanted], names), nowMs);
    vitest.expect(plan.orders).toEqual([]);
    const later = planModels(input([clearing(0, nowMs - 300)], [wanted], names), nowMs);
    vitest.expect(later.orders).toMatchObject([{ kind: 'unload', model: 'old', clearingFor: 'wanted' }]);
  });

  vitest.test('ends when the demand has ceased (guards against a replica that stays reserved)', () => {
    const demands = [{ ...wanted, waiting: 0, ratePerSecond: 0.05 }];
    vitest.expect(planModels(input([clearing(1, 0)], demands, names), nowMs).releases).toEqual(['r']);
  });

  vitest.test('ends when another replica can load at once (guards against waiting for long streams)', () => {
    const free = replica('free', [], ['wanted']);
    const plan = planModels(input([clearing(1, 0), free], [wanted], names), nowMs);
    vitest.expect(plan).toMatchObject({ orders: [{ replicaId: 'free', kind: 'load' }], releases: ['r'] });
  });

  vitest.test('ends when the retiring model is in higher demand (guards against unloading a busy model)', () => {
    const busy = demand('old', { waiting: 5, ratePerSecond: 9, latencyTargetMs: 250 });
    vitest.expect(planModels(input([clearing(1, 0)], [wanted, busy], names), nowMs).releases).toEqual(['r']);
  });
});

vitest.describe('placement of adapters', () => {
  vitest.test('orders an adapter only once (guards against an order for one that has just become ready)', () => {
    const demands = [demand('m', { adapter: 'a1', waiting: 2, slackMs: 0 })];
    const ready = replica('r', [held('m', 0, ['a1'])]);
    vitest.expect(planAdapters(input([ready], demands, ['m']), nowMs)).toEqual([]);
    const missing = replica('r', [held('m')]);
    vitest
      .expect(planAdapters(input([missing], demands, ['m']), nowMs))
      .toMatchObject([{ kind: 'load', adapter: 'a1' }]);
  });

  vitest.test('unloads the least recently used adapter when all slots are taken (guards against a crash)', () => {
    const full = replica('r', [
      {
        ...held('m'),
        adapters: [
          { name: 'a1', lastUsedMs: nowMs - 2_000 },
          { name: 'a2', lastUsedMs: nowMs - 9_000 },
        ],
      },
    ]);
    const demands = [demand('m', { adapter: 'a3', waiting: 1, slackMs: 0 })];
    const orders = planAdapters(input([full], demands, ['m']), nowMs);
    vitest.expect(adapterCount(full)).toBe(full.adapterSlots);
    vitest.expect(orders).toMatchObject([{ kind: 'unload', model: 'm', adapter: 'a2' }]);
  });
});

vitest.describe('placement for streams that have begun', () => {
  const replicas = [
    replica('new', [held('wanted')]),
    { ...replica('old', [held('used')], ['wanted']), softwareVersion: 'v0' },
  ];
  const used = demand('used', { ratePerSecond: 0.5 });

  vitest.test('loads their model at the version that began them (guards against streams lost during a release)', () => {
    const wanted = demand('wanted', { waiting: 1, slackMs: 300, requiredVersions: ['v0'] });
    const plan = planModels(input(replicas, [used, wanted], ['used', 'wanted']), nowMs);
    vitest.expect(plan.orders).toMatchObject([{ replicaId: 'old', kind: 'load', model: 'wanted' }]);
  });

  vitest.test('loads nothing if a replica of the version has the model', () => {
    const wanted = demand('wanted', { waiting: 1, slackMs: 300, requiredVersions: ['v1'] });
    const plan = planModels(input(replicas, [used, wanted], ['used', 'wanted']), nowMs);
    vitest.expect(plan).toMatchObject({ orders: [], clearings: [] });
  });

  vitest.test(
    'loads their adapter at the version that began them (guards against streams lost during a release)',
    () => {
      const holders = [
        replica('new', [held('m', 0, ['a'])]),
        { ...replica('old', [held('m')]), softwareVersion: 'v0' },
      ];
      const wanted = demand('m', { adapter: 'a', waiting: 1, requiredVersions: ['v0'] });
      const orders = planAdapters(input(holders, [wanted], ['m']), nowMs);
      vitest.expect(orders).toMatchObject([{ replicaId: 'old', kind: 'load', model: 'm', adapter: 'a' }]);
    },
  );
});
