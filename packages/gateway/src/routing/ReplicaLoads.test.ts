import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import { ReplicaLoads } from './ReplicaLoads.js';

const replica = sampleReplica({ slots: 12 });

function running(loads: ReplicaLoads, nowMs: number): number {
  return loads.candidate(replica, [], nowMs).running;
}

vitest.describe('loads of replicas', () => {
  vitest.test('use the newer report of replica and leader (guards against choices by outdated loads)', () => {
    const loads = new ReplicaLoads();
    loads.recordStart('r1', undefined, []);
    loads.recordTotal('r1', 5, 1_000);
    vitest.expect(running(loads, 1_100)).toBe(5);
    loads.recordLeaderTotal('r1', 9);
    loads.recordLeaderUpdate(1_200);
    vitest.expect(running(loads, 1_300)).toBe(9);
    loads.recordTotal('r1', 3, 1_400);
    vitest.expect(running(loads, 1_500)).toBe(3);
  });

  vitest.test(
    'keep loads that the leader leaves out while it sends messages, then expire (guards against herding)',
    () => {
      const loads = new ReplicaLoads();
      loads.recordLeaderTotal('r1', 9);
      loads.recordLeaderUpdate(0);
      loads.recordLeaderMessage(3_000);
      vitest.expect(running(loads, 4_000)).toBe(9);
      vitest.expect(running(loads, 5_000)).toBe(0);
    },
  );
});
