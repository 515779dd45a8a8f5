import * as vitest from 'vitest';
import { withdrawalLimitMs, leavingFaults, setVmsLeaving, startLeavingCluster } from './leaving.js';

vitest.describe('leaving target', () => {
  vitest.test.each(leavingFaults)(
    'gets no new work within seconds, fault: %s (guards against work sent to a VM that is about to be reclaimed)',
    async (fault) => {
      await using cluster = await startLeavingCluster();
      const outcome = await setVmsLeaving(cluster, fault);
      const message = JSON.stringify({ ...outcome, failed: outcome.failed.slice(0, 3) });
      vitest.expect(outcome.workBefore, message).toBeGreaterThan(0);
      vitest.expect(outcome.engineMs, message).toBeLessThan(withdrawalLimitMs);
      vitest.expect(outcome.serviceMs, message).toBeLessThan(withdrawalLimitMs);
      vitest.expect(outcome.failed, message).toEqual([]);
      vitest.expect(outcome.violations).toEqual([]);
    },
  );
});
