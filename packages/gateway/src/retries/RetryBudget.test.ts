import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { RetryBudget } from './RetryBudget.js';

const limits = { windowMs: 10_000, ratio: 0.2, slack: 56 };

vitest.describe('retry budget', () => {
  vitest.test('keeps the sum over all daemons below the shared limit (guards against retry storms)', () => {
    const daemons = fastCheck.integer({ min: 1, max: 64 });
    fastCheck.assert(
      fastCheck.property(daemons, fastCheck.nat(300), (count, requestsPerDaemon) => {
        const budgets = Array.from({ length: count }, () => new RetryBudget(limits));
        let retries = 0;
        for (const budget of budgets) {
          for (let request = 0; request < requestsPerDaemon; request += 1) {
            budget.recordRequest(0);
          }
          while (budget.tryTakeRetry(0, count)) {
            retries += 1;
          }
        }
        return retries <= limits.ratio * requestsPerDaemon * count + limits.slack;
      }),
    );
  });

  vitest.test('ignores retries before the window (guards against a budget that stays exhausted)', () => {
    const budget = new RetryBudget(limits);
    while (budget.tryTakeRetry(0, 1)) {
      // Exhaust the share.
    }
    vitest.expect(budget.tryTakeRetry(5_000, 1)).toBe(false);
    vitest.expect(budget.tryTakeRetry(10_500, 1)).toBe(true);
  });
});
