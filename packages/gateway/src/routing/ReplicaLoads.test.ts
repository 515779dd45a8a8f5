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
    const report = (total: number, nowMs: number): void => {
      loads.recordReport('r1', { running: total, waiting: 0, slots: 12 }, nowMs);
    };
    loads.recordStart('r1', undefined, []);
    report(5, 1_000);
    vitest.expect(running(loads, 1_000)).toBe(5);
    loads.recordLeaderTotal('r1', 9);
    loads.recordLeaderUpdate(1_200);
    vitest.expect(running(loads, 1_200)).toBe(9);
    report(3, 1_400);
    vitest.expect(running(loads, 1_400)).toBe(3);
  });

  vitest.test('decay to the mean of the service (guards against all daemons using a replica without a report)', () => {
    const loads = new ReplicaLoads();
    const other = sampleReplica({ id: 'r2', slots: 12 });
    loads.recordLeaderTotal('r1', 12);
    loads.recordLeaderTotal('r2', 4);
    loads.recordLeaderUpdate(0);
    loads.updateUtilisation('s', [replica, other], 0);
    vitest.expect(running(loads, 0)).toBe(12);
    const atOneSecond = running(loads, 1_000);
    vitest.expect(atOneSecond).toBeLessThan(12);
    vitest.expect(atOneSecond).toBeGreaterThan(8);
    vitest.expect(running(loads, 6_000)).toBeCloseTo(8, 0);
    loads.updateUtilisation('s', [replica, other], 60_000);
    vitest.expect(running(loads, 60_000)).toBeCloseTo(0, 0);
  });
});
