import * as vitest from 'vitest';
import { connectionLimits, memoryBudgetBytes, requestLimit, unreadResponseBytes } from './clientLimits.js';

const megabyte = 1024 * 1024;
/** Body limit of the operators and read ahead, bytes. */
const largestBodyBytes = 4 * megabyte + 64 * 1024;
const daemonsOfTheLargerInstallation = 85;

vitest.describe('clientLimits', () => {
  vitest.test.each([210, 250, 602])(
    'leave a machine of %i MB room for the process (guards against its end)',
    (memory) => {
      const budgetBytes = memoryBudgetBytes(memory);
      vitest.expect(budgetBytes).toBeLessThan((memory - 100) * megabyte);
      // An eighth of the budget is kept for ordinary clients.
      vitest.expect((budgetBytes * 7) / 8).toBeGreaterThan(largestBodyBytes);
    },
  );

  vitest.test('use 128 MB if the memory is unknown (guards against a daemon without a budget)', () => {
    vitest.expect(memoryBudgetBytes(undefined)).toBe(128 * megabyte);
  });

  vitest.test.each([200, 2_212, 4_100, 10_250])(
    'fit into %i descriptors with one more for each request (guards against exhausted descriptors)',
    (descriptors) => {
      const { callers, peers, status } = connectionLimits(descriptors);
      vitest.expect(2 * callers + peers + 2 * status).toBeLessThan(descriptors);
    },
  );

  vitest.test('leave the peer port a connection for each daemon (guards against followers without a leader)', () => {
    vitest.expect(connectionLimits(2_212).peers).toBeGreaterThan(daemonsOfTheLargerInstallation);
  });

  vitest.test(
    'leave room for as many unread responses as requests (guards against callers that stop reading together)',
    () => {
      const requests = requestLimit(memoryBudgetBytes(210), 1_000);
      vitest.expect(requests * unreadResponseBytes).toBeLessThanOrEqual(110 * megabyte);
      vitest.expect(requestLimit(memoryBudgetBytes(210), 50)).toBe(50);
    },
  );
});
