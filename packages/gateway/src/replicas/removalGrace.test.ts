import * as vitest from 'vitest';
import { removalGraceMs } from './removalGrace.js';
import { type OutageTimes, StoreOutage } from './StoreOutage.js';

const livenessMs = 1_200;
const noOutage: OutageTimes = { startedMs: Number.NEGATIVE_INFINITY, endedMs: Number.NEGATIVE_INFINITY };
const stillLasting = Number.POSITIVE_INFINITY;

/** Grace period after an outage in which records can have expired. */
function graceMs(endedMs: number, nowMs: number): number {
  return removalGraceMs({ outage: { startedMs: endedMs - 10_000, endedMs }, livenessMs }, nowMs);
}

vitest.describe('grace period of a removed replica', () => {
  vitest.test('is zero while reads of the store succeed (guards against requests to a replica that has left)', () => {
    vitest.expect(removalGraceMs({ outage: noOutage, livenessMs }, 50_000)).toBe(0);
    vitest.expect(graceMs(40_000, 50_000)).toBe(0);
  });

  vitest.test(
    'ends when expired records have been rewritten (guards against replicas lost to an outage of the store)',
    () => {
      vitest.expect(graceMs(50_000, 51_500)).toBe(800);
    },
  );

  vitest.test(
    'stays below the 2 s limit of a leaving replica after a failed read (guards against a request 2,202 ms late)',
    () => {
      for (let sinceFailureMs = 0; sinceFailureMs < 3_000; sinceFailureMs += 50) {
        vitest.expect(graceMs(50_000, 50_000 + sinceFailureMs)).toBeLessThanOrEqual(1_700);
      }
    },
  );

  vitest.test(
    'is zero after an outage in which no record can have expired (guards against requests 3.4 s after a removal)',
    () => {
      const outage = { startedMs: 50_000, endedMs: stillLasting };
      vitest.expect(removalGraceMs({ outage, livenessMs }, 52_000)).toBe(0);
      vitest.expect(removalGraceMs({ outage, livenessMs }, 52_399)).toBe(0);
      vitest.expect(removalGraceMs({ outage, livenessMs }, 52_400)).toBeGreaterThan(0);
      vitest.expect(removalGraceMs({ outage, livenessMs: 400 }, 52_000)).toBeGreaterThan(0);
      vitest.expect(removalGraceMs({ outage: { ...outage, endedMs: 51_800 }, livenessMs }, 52_400)).toBe(0);
    },
  );

  vitest.test(
    'is zero if peers have read the store all the while (guards against the grace period of a VM that is cut off)',
    () => {
      const outage = { startedMs: 20_000, endedMs: 49_900 };
      const peerReadsMs = Array.from({ length: 30 }, (_value, index) => 21_000 + index * 1_000);
      vitest.expect(removalGraceMs({ outage, livenessMs }, 50_000)).toBeGreaterThan(0);
      vitest.expect(removalGraceMs({ outage, livenessMs, peerReadsMs }, 50_000)).toBe(0);
    },
  );

  vitest.test(
    'stays if peers have read the store only before and after an outage (guards against replicas lost to an outage)',
    () => {
      const outage = { startedMs: 40_000, endedMs: 49_900 };
      for (const peerReadsMs of [[], [41_000], [49_950], [41_000, 44_000, 49_800, 49_950]]) {
        vitest.expect(removalGraceMs({ outage, livenessMs, peerReadsMs }, 50_000)).toBeGreaterThan(0);
      }
    },
  );

  vitest.test(
    'lasts until records are written again if a restored store lacks the record (guards against lost capacity)',
    () => {
      const restored = { outage: noOutage, livenessMs, restoredMs: 50_000 };
      vitest.expect(removalGraceMs(restored, 50_000)).toBe(2_300);
      vitest.expect(removalGraceMs({ ...restored, restoredMs: 50_000 }, 52_000)).toBe(300);
      vitest.expect(removalGraceMs({ ...restored, restoredMs: 50_000 }, 55_000)).toBe(0);
    },
  );
});

vitest.describe('outage of the store', () => {
  vitest.test('begins with the last success before its first failure', () => {
    const outage = new StoreOutage();
    vitest.expect(outage.times).toEqual(noOutage);
    outage.recordSuccess(1_000);
    outage.recordFailure(2_000);
    outage.recordFailure(3_000);
    vitest.expect(outage.times).toEqual({ startedMs: 1_000, endedMs: stillLasting });
    outage.recordSuccess(3_500);
    outage.recordSuccess(4_000);
    vitest.expect(outage.times).toEqual({ startedMs: 1_000, endedMs: 3_500 });
  });

  vitest.test('goes on while a few reads succeed (guards against replicas lost while the store is slow)', () => {
    const outage = new StoreOutage();
    outage.recordSuccess(1_000);
    outage.recordFailure(2_000);
    outage.recordSuccess(3_000);
    outage.recordFailure(4_000);
    vitest.expect(outage.times).toEqual({ startedMs: 1_000, endedMs: stillLasting });
    outage.recordSuccess(6_000);
    outage.recordFailure(8_000);
    vitest.expect(outage.times).toEqual({ startedMs: 6_000, endedMs: stillLasting });
  });
});
