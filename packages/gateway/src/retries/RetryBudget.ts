/** Span of a counting bucket, milliseconds. */
const bucketMs = 500;

/** Part of the shared budget that one daemon leaves unused, because callers spread unevenly over daemons. */
const unusedShare = 0.3;

/** Limits on second sends to a service, summed over all daemons. */
export interface RetryBudgetLimits {
  readonly windowMs: number;
  /** Second sends allowed for each request in the window. */
  readonly ratio: number;
  /** Second sends allowed besides. */
  readonly slack: number;
}

interface Bucket {
  readonly startMs: number;
  requests: number;
  retries: number;
}

/** Counts requests and second sends to one service and says whether one more second send fits this daemon's share. */
export class RetryBudget {
  private _buckets: Bucket[] = [];

  public constructor(private readonly _limits: RetryBudgetLimits) {}

  /** Counts a first send. */
  public recordRequest(nowMs: number): void {
    this._bucket(nowMs).requests += 1;
  }

  /** Takes one second send from this daemon's share; false if the share is spent. */
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
