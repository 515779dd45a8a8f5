import * as vitest from 'vitest';
import { RetryBudgets } from './RetryBudgets.js';

const limits = { windowMs: 10_000, ratio: 0.2, slack: 430 };
const daemons = 195;

function retriesTaken(budgets: RetryBudgets, nowMs: number): number {
  let taken = 0;
  while (budgets.tryTakeRetry('s', nowMs)) {
    taken += 1;
  }
  return taken;
}

vitest.describe('retry budgets of many daemons', () => {
  vitest.test('keep the shared limit without a leader (guards against retries after a full restart)', () => {
    vitest.expect(retriesTaken(new RetryBudgets(limits), 0) * daemons).toBeLessThanOrEqual(limits.slack);
  });

  vitest.test('keep the shared limit while daemons join a new leader (guards against shares for a small fleet)', () => {
    const budgets = new RetryBudgets(limits);
    budgets.setDaemonCount(daemons, 0);
    budgets.setDaemonCount(3, 1_000);
    vitest.expect(retriesTaken(budgets, 1_000) * daemons).toBeLessThanOrEqual(limits.slack);
  });

  vitest.test('grow after the window when the number of daemons has decreased', () => {
    const budgets = new RetryBudgets(limits);
    budgets.setDaemonCount(daemons, 0);
    budgets.setDaemonCount(9, 1_000);
    budgets.setDaemonCount(9, 12_000);
    vitest.expect(retriesTaken(budgets, 12_000)).toBeGreaterThan(20);
  });
});
