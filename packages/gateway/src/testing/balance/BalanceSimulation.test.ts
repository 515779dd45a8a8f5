import * as vitest from 'vitest';
import { type BalanceSetting, BalanceSimulation } from './BalanceSimulation.js';
import { expectedSends, leastLoad, randomChoices } from './policies.js';

const setting: BalanceSetting = {
  daemons: 82,
  replicas: 46,
  slots: 24,
  requestsPerSecond: 1_000,
  utilisation: 0.75,
  reportAgeMs: 500,
  statesSlowness: true,
  seconds: 4,
  seed: 2,
};

vitest.describe('82 daemons with reports of 500 ms', () => {
  vitest.test('balance better than by the least load or two random choices (guards against herding)', () => {
    const chosen = new BalanceSimulation(setting, expectedSends).run();
    for (const other of [leastLoad, randomChoices(2)]) {
      const result = new BalanceSimulation(setting, other).run();
      vitest.expect(chosen.idleWhileQueued).toBeLessThan(result.idleWhileQueued);
      vitest.expect(chosen.firstEventMs.mean).toBeLessThan(result.firstEventMs.mean);
      vitest.expect(chosen.newConnectionsPerRequest).toBeLessThan(result.newConnectionsPerRequest);
    }
  });
});
