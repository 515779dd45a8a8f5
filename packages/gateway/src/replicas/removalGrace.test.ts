import * as vitest from 'vitest';
import { removalGraceMs } from './removalGrace.js';

vitest.describe('grace period of a removed replica', () => {
  vitest.test('is zero while reads of the store succeed (guards against requests to a replica that has left)', () => {
    vitest.expect(removalGraceMs(Number.NEGATIVE_INFINITY, 50_000)).toBe(0);
    vitest.expect(removalGraceMs(40_000, 50_000)).toBe(0);
  });

  vitest.test(
    'ends when expired records have been rewritten (guards against replicas lost to an outage of the store)',
    () => {
      vitest.expect(removalGraceMs(50_000, 51_500)).toBe(800);
    },
  );

  vitest.test(
    'stays below the 2 s limit of a leaving replica after a failed read (guards against a request 2,202 ms late)',
    () => {
      for (let sinceFailureMs = 0; sinceFailureMs < 3_000; sinceFailureMs += 50) {
        vitest.expect(removalGraceMs(50_000, 50_000 + sinceFailureMs)).toBeLessThanOrEqual(1_700);
      }
    },
  );

  vitest.test(
    'lasts until records are written again if a restored store lacks the record (guards against lost capacity)',
    () => {
      vitest.expect(removalGraceMs(Number.NEGATIVE_INFINITY, 50_000, 50_000)).toBe(2_300);
      vitest.expect(removalGraceMs(Number.NEGATIVE_INFINITY, 52_000, 50_000)).toBe(300);
      vitest.expect(removalGraceMs(Number.NEGATIVE_INFINITY, 55_000, 50_000)).toBe(0);
    },
  );
});
