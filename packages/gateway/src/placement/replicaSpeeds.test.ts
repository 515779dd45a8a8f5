import * as vitest from 'vitest';
import { placedReplica } from '../testing/placedReplica.js';
import { planModels } from './planModels.js';
import type { PlacedModel, PlacedReplica, PlacementInput } from './Types.js';

const nowMs = 100_000;
const model = 'hot';

function held(name: string): PlacedModel {
  return { name, running: 0, readySinceMs: 0, adapters: [] };
}

function input(replicas: readonly PlacedReplica[], waiting: number): PlacementInput {
  const specification = {
    weightMegabytes: 60_000,
    adapterMegabytes: 40,
    loadMs: { memory: 300, disk: 500, store: 6_000 },
  };
  const demand = { modelReference: { model }, waiting, slackMs: 0, requiredVersions: [], unservedMs: 0 };
  return {
    models: new Map([[model, { name: model, ...specification }]]),
    replicas,
    demands: [{ ...demand, ratePerSecond: 8, latencyTargetMs: 250 }],
    mayLoadMissing: true,
    maximumStoreLoads: 4,
  };
}

const onDisk = new Set([model]);

vitest.describe('placement by the speed of replicas', () => {
  vitest.test('loads a model on the faster of two replicas (guards against late streams on slow replicas)', () => {
    const replicas = [
      placedReplica('slow', { onDisk, slowness: 1.6 }),
      placedReplica('fast', { onDisk, slowness: 0.6 }),
    ];
    vitest.expect(planModels(input(replicas, 1), nowMs).orders).toMatchObject([{ replicaId: 'fast', kind: 'load' }]);
  });

  vitest.test(
    'adds a faster copy of a hot model on a slow replica (guards against callers that are late all day)',
    () => {
      const slow = placedReplica('slow', { models: [held(model)], onDisk, slowness: 1.6 });
      const fast = placedReplica('fast', { onDisk, slowness: 0.6 });
      vitest
        .expect(planModels(input([slow, fast], 0), nowMs).orders)
        .toMatchObject([{ replicaId: 'fast', reason: 'fasterCopy' }]);
      const usual = placedReplica('usual', { models: [held(model)], onDisk });
      vitest.expect(planModels(input([slow, usual, fast], 0), nowMs).orders).toEqual([]);
    },
  );
});
