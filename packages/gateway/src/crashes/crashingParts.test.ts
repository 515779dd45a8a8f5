import * as standins from '@jayhaven/standins';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { CrashSimulation } from '../testing/CrashSimulation.js';
import type {
  CrashFaults,
  CrashSimulationOptions,
  CrashSimulationResult,
  SoundRequest,
} from '../testing/CrashSimulationTypes.js';

const daemonCounts = [3, 9, 82, 300] as const;
const durationMs = 30_000;
/** Time after the fifth crash from which on the part must not reach replicas, milliseconds. */
const reactionMs = 3_000;
const toleratedArrivals = 3;
const calm: CrashFaults = { singleCrash: 0, massCrash: 0, flappingShare: 0, leaderLoss: 0, daemonRestart: 0 };

function simulate(changes: Partial<CrashSimulationOptions>, seed: number): CrashSimulationResult {
  const source = new standins.RandomSource(seed);
  const options: CrashSimulationOptions = {
    daemonCount: 9,
    replicaCount: 12,
    requestsPerSecond: 60,
    crashingShare: 0.05,
    crashingKind: 'part',
    popularShare: 0.1,
    callerCount: 30,
    durationMs,
    faults: calm,
    random: () => source.next(),
    ...changes,
  };
  return new CrashSimulation(options).run();
}

/** Arrivals at replicas later than the reaction time after a crash, which is counted from 1. */
function lateArrivals({ crashesMs, crashingArrivalsMs }: CrashSimulationResult, crash: number): number {
  const fromMs = (crashesMs[crash - 1] ?? Number.POSITIVE_INFINITY) + reactionMs;
  return crashingArrivalsMs.filter((timeMs) => timeMs > fromMs).length;
}

function answeredShare(requests: readonly SoundRequest[]): number {
  return requests.filter(({ outcome }) => outcome === 'answered').length / Math.max(requests.length, 1);
}

const someFaults = fastCheck.record({
  singleCrash: fastCheck.constantFrom(0, 0.1, 0.3),
  massCrash: fastCheck.constantFrom(0, 0.05),
  flappingShare: fastCheck.constantFrom(0, 0.2),
  leaderLoss: fastCheck.constantFrom(0, 0.05),
  daemonRestart: fastCheck.constantFrom(0, 0.2),
});

vitest.describe('a prompt part that ends replicas', () => {
  vitest.test.each(daemonCounts)(
    'stops reaching replicas with %i daemons under faults (guards against daemons that each find out alone)',
    (daemonCount) => {
      const shares = fastCheck.constantFrom(0.02, 0.05, 0.2, 0.5);
      const property = fastCheck.property(fastCheck.nat(), shares, someFaults, (seed, crashingShare, faults) => {
        const result = simulate({ daemonCount, crashingShare, faults, requestsPerSecond: 30 + daemonCount }, seed);
        vitest.expect(lateArrivals(result, 5)).toBeLessThanOrEqual(toleratedArrivals);
      });
      fastCheck.assert(property, { numRuns: daemonCount > 9 ? 10 : 40, seed: 27 });
    },
    60_000,
  );

  vitest.test.each(daemonCounts)(
    'leaves sound requests with the same first part served with %i daemons (guards against blocked sound parts)',
    (daemonCount) => {
      const shares = fastCheck.constantFrom(0.05, 0.2, 0.5);
      const property = fastCheck.property(fastCheck.nat(), shares, (seed, crashingShare) => {
        const { soundRequests, crashesMs } = simulate({ daemonCount, crashingShare, requestsPerSecond: 60 }, seed);
        const fromMs = (crashesMs[4] ?? crashesMs.at(-1) ?? 0) + 2 * reactionMs;
        const late = soundRequests.filter(({ atMs }) => atMs > fromMs && atMs < durationMs - 1_000);
        vitest.expect(answeredShare(late)).toBeGreaterThan(0.9);
      });
      fastCheck.assert(property, { numRuns: daemonCount > 9 ? 8 : 25, seed: 28 });
    },
    60_000,
  );
});

vitest.describe('a request that ends replicas', () => {
  vitest.test.each(daemonCounts)(
    'stops reaching replicas with %i daemons under faults (guards against daemons that each find out alone)',
    (daemonCount) => {
      const shares = fastCheck.constantFrom(0.02, 0.05, 0.2, 0.5);
      const property = fastCheck.property(fastCheck.nat(), shares, someFaults, (seed, crashingShare, faults) => {
        const changes = { daemonCount, crashingShare, faults, requestsPerSecond: 30 + daemonCount };
        const result = simulate({ ...changes, crashingKind: 'request' }, seed);
        vitest.expect(lateArrivals(result, 3)).toBeLessThanOrEqual(toleratedArrivals);
      });
      fastCheck.assert(property, { numRuns: daemonCount > 9 ? 10 : 40, seed: 30 });
    },
    60_000,
  );

  vitest.test.each(daemonCounts)(
    'leaves sound requests with the same parts served with %i daemons (guards against sound requests blocked with it)',
    (daemonCount) => {
      const shares = fastCheck.constantFrom(0.05, 0.2, 0.5);
      const property = fastCheck.property(fastCheck.nat(), shares, (seed, crashingShare) => {
        const result = simulate({ daemonCount, crashingShare, crashingKind: 'request', popularShare: 0.3 }, seed);
        const fromMs = (result.crashesMs[2] ?? result.crashesMs.at(-1) ?? 0) + 2 * reactionMs;
        const late = result.soundRequests.filter(({ atMs }) => atMs > fromMs && atMs < durationMs - 1_000);
        vitest.expect(answeredShare(late)).toBeGreaterThan(0.9);
      });
      fastCheck.assert(property, { numRuns: daemonCount > 9 ? 8 : 25, seed: 31 });
    },
    60_000,
  );
});

vitest.describe('crashes of other causes', () => {
  vitest.test('rarely block a part (guards against sound requests refused for a coincidence)', () => {
    let crashes = 0;
    let blocks = 0;
    for (let seed = 1; seed <= 40; seed += 1) {
      const faults = { ...calm, singleCrash: 0.3, massCrash: 0.05, flappingShare: seed % 2 === 0 ? 0.25 : 0 };
      const result = simulate({ crashingShare: 0, popularShare: 0.3, faults, callerCount: 400 }, seed);
      crashes += result.otherCrashes;
      blocks += result.wrongBlocks.length;
    }
    vitest.expect(crashes).toBeGreaterThan(500);
    vitest.expect(blocks / crashes).toBeLessThan(0.01);
  });
});
