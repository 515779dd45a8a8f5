import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import { seededRandom } from '../testing/seededRandom.js';
import type { Replica } from '../Types.js';
import { ReplicaLoads } from './ReplicaLoads.js';
import { selectReplica } from './selectReplica.js';

const now = { steadyMs: 0, wallMs: 0 };

function service(count: number): readonly Replica[] {
  return Array.from({ length: count }, (_, index) => sampleReplica({ id: `r${index}` }));
}

function select(usable: readonly Replica[], loads: ReplicaLoads, random: () => number): string | undefined {
  const selection = { service: 's', usable, modelReference: undefined, promptPartIds: [], excluded: new Set<string>() };
  const choice = { failureDomain: 'a', hasConnection: () => false, random };
  return selectReplica({ ...selection, ...choice }, { loads, rateLimits: { maySend: () => true } }, now).candidate
    ?.replica.id;
}

/** The replicas that a daemon without load uses. */
function used(usable: readonly Replica[], daemon: string): ReadonlySet<string | undefined> {
  const random = seededRandom(1);
  const loads = new ReplicaLoads(daemon);
  return new Set(Array.from({ length: 2_000 }, () => select(usable, loads, random)));
}

vitest.describe('the subset of a daemon', () => {
  vitest.test('is small, its own and stable (guards against a connection to each replica for each daemon)', () => {
    const first = used(service(400), 'd1');
    vitest.expect(first.size).toBeLessThan(100);
    const common = [...used(service(400), 'd2')].filter((id) => first.has(id));
    vitest.expect(common.length).toBeLessThan(first.size / 2);
    const kept = [...used(service(390), 'd1')].filter((id) => first.has(id));
    vitest.expect(kept.length).toBeGreaterThan(first.size * 0.8);
  });

  vitest.test('is left if it is full (guards against a wait while a replica outside has a free slot)', () => {
    const usable = service(400);
    const subset = used(usable, 'd1');
    const loads = new ReplicaLoads('d1');
    for (const { id, slots } of usable.filter((replica) => subset.has(replica.id))) {
      loads.recordReport(id, { running: slots, waiting: 5, slots }, now.steadyMs);
    }
    vitest.expect(subset.has(select(usable, loads, seededRandom(2)))).toBe(false);
  });
});
