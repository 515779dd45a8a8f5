import * as vitest from 'vitest';
import { boundMs, leavingCases, letVmsLeave, startLeavingCluster } from './leaving.js';

vitest.describe('leaving target', () => {
  vitest.test.each(leavingCases)(
    'gets no new work within seconds, fault: %s (guards against work for a VM that is about to go)',
    async (fault) => {
      await using cluster = await startLeavingCluster();
      const outcome = await letVmsLeave(cluster, fault);
      const message = JSON.stringify({ ...outcome, failed: outcome.failed.slice(0, 3) });
      vitest.expect(outcome.workBefore, message).toBeGreaterThan(0);
      vitest.expect(outcome.engineMs, message).toBeLessThan(boundMs);
      vitest.expect(outcome.serviceMs, message).toBeLessThan(boundMs);
      vitest.expect(outcome.failed, message).toEqual([]);
      vitest.expect(outcome.violations).toEqual([]);
    },
  );
});
