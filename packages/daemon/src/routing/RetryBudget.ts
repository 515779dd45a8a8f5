import * as decisions from '@jayhaven/decisions';

/** Holds the retry budget that all requests of the daemon share. */
export class RetryBudget {
  private _budget = decisions.initialRetryBudget;

  public constructor(private readonly _retryRatio: number) {}

  /** Counts a request. */
  public countRequest(): void {
    this._budget = decisions.depositRequest(this._budget, this._retryRatio);
  }

  /** Takes a retry; false if the budget is spent. */
  public withdraw(): boolean {
    const remaining = decisions.withdrawRetry(this._budget);
    this._budget = remaining ?? this._budget;
    return remaining !== undefined;
  }
}
