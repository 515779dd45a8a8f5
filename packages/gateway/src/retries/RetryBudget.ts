/** Time span of a bucket, milliseconds. */
const bucketMs = 500;

/** Share of its budget that a daemon leaves unused, because callers are distributed unevenly over the daemons. */
const unusedShare = 0.3;

/** Limits on retries to a service, summed over all daemons. */
export interface RetryBudgetLimits {
  readonly windowMs: number;
  /** Retries allowed for each request in the window. */
  readonly ratio: number;
  /** Retries allowed in the window regardless of the number of requests. */
  readonly slack: number;
}

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Counts requests and retries to one service and limits the retries to this daemon's share of the budget. */
export class RetryBudget {
  private _buckets: Bucket[] = [];

  public constructor(private readonly _limits: RetryBudgetLimits) {}

  /** Counts the first attempt of a request. */
  public recordRequest(nowMs: number): void {
    this._bucket(nowMs).requests += 1;
  }

  /** Takes one retry from this daemon's share; false if the share is exhausted. */
  public tryTakeRetry(nowMs: number, daemonCount: number): boolean {
    const current = this._bucket(nowMs);
    const requests = this._buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    const retries = this._buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    const share = this._limits.ratio * requests + this._limits.slack / Math.max(daemonCount, 1);
    if (retries + 1 > share * (1 - unusedShare)) {
      return false;
    }
    current.retries += 1;
    return true;
  }

  private _bucket(nowMs: number): Bucket {
    this._buckets = this._buckets.filter((bucket) => nowMs - bucket.startMs < this._limits.windowMs);
    const last = this._buckets.at(-1);
    if (last !== undefined && nowMs - last.startMs < bucketMs) {
      return last;
    }
    const bucket: Bucket = { startMs: nowMs, requests: 0, retries: 0 };
    this._buckets.push(bucket);
    return bucket;
  }
}
