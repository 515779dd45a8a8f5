import * as vitest from 'vitest';
import { ReplicaSpeeds } from './ReplicaSpeeds.js';

/** Records runs at two replicas in turn. */
function afterRuns(count: number, firstMs: number, secondMs: number): ReplicaSpeeds {
  const speeds = new ReplicaSpeeds();
  for (let run = 0; run < count; run += 1) {
    speeds.recordRun('r1', 's', 'route', firstMs, 0);
    speeds.recordRun('r2', 's', 'route', secondMs, 0);
  }
  return speeds;
}

vitest.describe('the speed of a replica', () => {
  vitest.test('follows many runs more than a few (guards against choices by one long answer)', () => {
    const one = afterRuns(1, 600, 1_600);
    const many = afterRuns(40, 600, 1_600);
    vitest.expect(one.slowness('r2', 0)).toBeLessThan(1.4);
    vitest.expect(many.slowness('r2', 0) / many.slowness('r1', 0)).toBeGreaterThan(2);
  });

  vitest.test(
    'is not learned from very short runs (guards against a replica left out for stalls of the daemon)',
    () => {
      const speeds = afterRuns(40, 2, 6);
      vitest.expect(speeds.slowness('r2', 0) / speeds.slowness('r1', 0)).toBeLessThan(1.3);
    },
  );

  vitest.test('decays to the mean without runs (guards against a replica that is never tried again)', () => {
    const speeds = afterRuns(40, 600, 1_600);
    vitest.expect(speeds.slowness('r2', 600_000)).toBeCloseTo(1, 1);
  });

  vitest.test('includes the fourth figure for a short time (guards against outdated momentary slowness)', () => {
    const speeds = new ReplicaSpeeds();
    speeds.recordMomentary('r1', { running: 0, waiting: 0, slots: 4, slowness: 2.5 }, 1_000);
    vitest.expect(speeds.slowness('r1', 1_000)).toBe(2.5);
    vitest.expect(speeds.slowness('r1', 3_000)).toBeCloseTo(1, 1);
  });
});
