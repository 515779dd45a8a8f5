import * as vitest from 'vitest';
import { measureRun } from './measureRun.js';
import type { ByteRates, RunResult, RunShape } from './Types.js';

const idle: Omit<RunShape, 'daemons' | 'targets'> = {
  ...{ series: 'test', models: 0, loadedModels: 0, requestsPerSecond: 0, editsPerMinute: 0, claimsPerSecond: 0 },
  ...{ tokensPerRequest: 8, tokenMs: 100 },
};
const windowSeconds = 6;
const times = { settleMs: 4_000, windowMs: windowSeconds * 1000 };
/** An action repeated once a second occurs 5 to 7 times in a window of 6 s. */
const largestRatio = (windowSeconds + 1) / (windowSeconds - 1);
const testTimeoutMs = 120_000;

function run(daemons: number, targets: number): Promise<RunResult> {
  return measureRun({ ...idle, daemons, targets }, times);
}

function totalOf({ daemons }: RunResult, kind: keyof ByteRates): number {
  return daemons.reduce((total, { bytesPerSecond }) => total + bytesPerSecond[kind], 0);
}

vitest.describe('control traffic', () => {
  vitest.test(
    'does not grow with targets times daemons (guards against every daemon polling every target)',
    { timeout: testTimeoutMs },
    async () => {
      const few = await run(2, 12);
      const many = await run(4, 12);
      // Each target has one collector, which polls it once a second, independent of the number of daemons.
      vitest.expect(totalOf(few, 'targets')).toBeGreaterThan(0);
      vitest.expect(totalOf(many, 'targets') / totalOf(few, 'targets')).toBeLessThan(largestRatio);
      // Without requests there are no subscriptions, so daemons exchange only heartbeats.
      const fewTargets = await run(4, 3);
      vitest.expect(totalOf(fewTargets, 'peers')).toBeGreaterThan(0);
      vitest.expect(totalOf(many, 'peers') / totalOf(fewTargets, 'peers')).toBeLessThan(largestRatio);
    },
  );
});
