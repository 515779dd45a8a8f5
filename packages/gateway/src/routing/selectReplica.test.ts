import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import { ReplicaLoads } from './ReplicaLoads.js';
import { type Selection, selectReplica } from './selectReplica.js';

const now = { steadyMs: 1_000, wallMs: 1_000 };
const replicas = ['long', 'short'].map((id) => sampleReplica({ id }));

function select(loads: ReplicaLoads, random: number): ReturnType<typeof selectReplica> {
  const selection: Selection = {
    service: 's',
    usable: replicas,
    modelReference: undefined,
    promptPartIds: [],
    excluded: new Set(),
    failureDomain: 'a',
    hasConnection: () => false,
    random: () => random,
  };
  return selectReplica(selection, { loads, rateLimits: { maySend: () => true } }, now);
}

vitest.describe('selectReplica', () => {
  vitest.test('finds the shortest queue if the chosen replica has one (guards against refusals by chance)', () => {
    const loads = new ReplicaLoads();
    loads.recordReport('long', { running: 4, waiting: 30, slots: 4 }, now.steadyMs);
    loads.recordReport('short', { running: 4, waiting: 1, slots: 4 }, now.steadyMs);
    for (const random of [0, 0.99]) {
      vitest.expect(select(loads, random).shortestQueue?.replica.id).toBe('short');
    }
  });

  vitest.test('leaves it out if the chosen replica has a free slot (guards against work for nothing)', () => {
    vitest.expect(select(new ReplicaLoads(), 0)).not.toHaveProperty('shortestQueue');
  });
});
