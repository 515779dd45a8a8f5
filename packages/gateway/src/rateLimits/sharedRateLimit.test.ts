import * as standins from '@jayhaven/standins';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { RateLimitSimulation, type SimulationFaults } from '../testing/RateLimitSimulation.js';

/** Requests that a replica may get in a window: one and a half times its limit, and five. */
const windowMs = 4_000;
const allowed = { factor: 1.5, requests: 5 } as const;
const durationMs = 20_000;
const calm: SimulationFaults = { leaderLoss: 0, suspension: 0, cut: 0, restart: 0, delayedShare: 0 };
const daemonCounts = [3, 9, 82, 300];
const limits = [0.2, 0.5, 1.6, 5, 20, 200];

function randomOf(seed: number): () => number {
  const source = new standins.RandomSource(seed);
  return () => source.next();
}

function largestExcess(arrivalsMs: readonly number[], limitPerSecond: number): number {
  const sorted = [...arrivalsMs].sort((first, second) => first - second);
  const limit = (limitPerSecond * windowMs * allowed.factor) / 1_000 + allowed.requests;
  let start = 0;
  let largest = Number.NEGATIVE_INFINITY;
  sorted.forEach((timeMs, index) => {
    while ((sorted[start] ?? timeMs) <= timeMs - windowMs) {
      start += 1;
    }
    largest = Math.max(largest, index - start + 1 - limit);
  });
  return largest;
}

vitest.describe('the rate limit of a replica that all daemons share', () => {
  vitest.test.each(daemonCounts)(
    'holds in every window with %i daemons under faults (guards against shares that add up to more than the limit)',
    (daemonCount) => {
      const faults = fastCheck.record({
        leaderLoss: fastCheck.constantFrom(0, 0.05, 0.2),
        suspension: fastCheck.constantFrom(0, 0.02, 0.2),
        cut: fastCheck.constantFrom(0, 0.02, 0.2),
        restart: fastCheck.constantFrom(0, 0.02, 0.1),
        delayedShare: fastCheck.constantFrom(0, 0.05, 0.5),
      });
      const property = fastCheck.property(
        fastCheck.nat(),
        fastCheck.constantFrom(...limits),
        fastCheck.constantFrom(0.8, 2, 10),
        faults,
        (seed, limitPerSecond, load, simulationFaults) => {
          const simulation = new RateLimitSimulation({
            daemonCount,
            limitPerSecond,
            requestsPerSecond: limitPerSecond * load,
            durationMs,
            faults: simulationFaults,
            random: randomOf(seed),
          });
          return largestExcess(simulation.run().arrivalsMs, limitPerSecond) <= 0;
        },
      );
      fastCheck.assert(property, { numRuns: daemonCount > 9 ? 12 : 40, seed: 24 });
    },
    60_000,
  );

  vitest.test.each(daemonCounts)(
    'is used for more than two thirds with %i daemons under demand (guards against shares that are lost)',
    (daemonCount) => {
      for (const limitPerSecond of limits.filter((limit) => limit >= 0.5)) {
        const simulation = new RateLimitSimulation({
          daemonCount,
          limitPerSecond,
          requestsPerSecond: limitPerSecond * 4,
          durationMs,
          faults: calm,
          random: randomOf(daemonCount),
        });
        const used = simulation.run().arrivalsMs.length / ((limitPerSecond * durationMs) / 1_000);
        vitest.expect(used, `limit ${limitPerSecond}`).toBeGreaterThan(2 / 3);
      }
    },
    60_000,
  );
});
