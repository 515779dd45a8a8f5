/** Retry budget: each request adds a fraction of a token, each retry takes one token. */
import type { RetryBudget } from './Types.js';

/** Enough to retry the requests in flight at one failed target; refills in ten seconds at 50 requests per second. */
const maximumTokens = 100;

/** Budget of a daemon that has just started. */
export const initialRetryBudget: RetryBudget = { tokens: maximumTokens };

/** Counts a first attempt. `share` is the number of retries allowed per request on average. */
export function depositRequest(budget: RetryBudget, share: number): RetryBudget {
  return { tokens: Math.min(maximumTokens, budget.tokens + share) };
}

/** Takes one retry from the budget; undefined if the budget is exhausted. */
export function withdrawRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens >= 1 ? { tokens: budget.tokens - 1 } : undefined;
}
