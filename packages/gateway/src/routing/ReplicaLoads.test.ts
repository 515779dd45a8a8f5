import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import { ReplicaLoads } from './ReplicaLoads.js';

const replica = sampleReplica({ slots: 12 });

function running(loads: ReplicaLoads, nowMs: number): number {
  return loads.candidate(replica, [], nowMs).running;
}

vitest.describe('loads of replicas', () => {
  vitest.test('follow the newer of the answer and the leader (guards against choices by the older one)', () => {
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
    'keep what the leader does not mention while it is heard, and drop it after (guards against herds)',
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
