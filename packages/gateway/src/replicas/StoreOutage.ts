/**
 * Time after an outage of the store within which the expired records are written again, milliseconds (approximate). Failures
 * that are closer belong to one outage, since records may still be missing.
 */
export const expiredRecordRewriteMs = 2_300;

/** When the store was last out of reach of this daemon, steady milliseconds. */
export interface OutageTimes {
  /** Last successful read before the first failure; minus infinity if there is none. */
  readonly startedMs: number;
  /** First successful read after the last failure; infinity while the outage lasts, minus infinity if there was none. */
  readonly endedMs: number;
}

/** Follows the outages of the store that reads of this daemon show. */
export class StoreOutage {
  private _lastSuccessMs = Number.NEGATIVE_INFINITY;
  private _lastFailureMs = Number.NEGATIVE_INFINITY;
  private _times: OutageTimes = { startedMs: Number.NEGATIVE_INFINITY, endedMs: Number.NEGATIVE_INFINITY };

  /** Times of the outage in progress, or else of the last one. */
  public get times(): OutageTimes {
    return this._times;
  }

  public recordSuccess(nowMs: number): void {
    this._lastSuccessMs = nowMs;
    this._times = { ...this._times, endedMs: Math.min(this._times.endedMs, nowMs) };
  }

  public recordFailure(nowMs: number): void {
    const isNew = nowMs - this._lastFailureMs > expiredRecordRewriteMs;
    this._lastFailureMs = nowMs;
    this._times = {
      startedMs: isNew ? this._lastSuccessMs : this._times.startedMs,
      endedMs: Number.POSITIVE_INFINITY,
    };
  }
}
