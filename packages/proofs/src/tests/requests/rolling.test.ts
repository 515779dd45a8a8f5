import * as vitest from 'vitest';
import { replaceAllDaemons, startRollingCluster } from './rolling.js';

vitest.describe('planned stop', () => {
  vitest.test.each([1, 3])(
    'replacing every daemon interrupts no request, with %i SIGTERM each (guards against a stop that interrupts requests)',
    async (signals) => {
      await using cluster = await startRollingCluster();
      const outcome = await replaceAllDaemons(cluster, signals);
      vitest.expect(outcome.cut, cluster.errorOutput(2_000)).toEqual([]);
      vitest.expect(outcome.exitCodes).toEqual([0, 0, 0]);
      vitest.expect(outcome.violations).toEqual([]);
      // Fewer requests would not show that some were in flight at each stop.
      vitest.expect(outcome.streams).toBeGreaterThan(10);
      vitest.expect(outcome.serviceCalls).toBeGreaterThan(50);
    },
  );
});
