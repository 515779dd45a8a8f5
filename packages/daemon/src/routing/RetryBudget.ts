import * as decisions from '@jayhaven/decisions';

/** Retry budget shared by all requests of the daemon. */
export class RetryBudget {
  private _budget = decisions.initialRetryBudget;

  public constructor(private readonly _retryRatio: number) {}

  /** Counts a request, which adds to the budget. */
  public countRequest(): void {
    this._budget = decisions.depositRequest(this._budget, this._retryRatio);
  }

  /** Takes one retry from the budget. Returns false if the budget is exhausted. */
  public withdraw(): boolean {
    const remaining = decisions.withdrawRetry(this._budget);
    this._budget = remaining ?? this._budget;
    return remaining !== undefined;
  }
}
