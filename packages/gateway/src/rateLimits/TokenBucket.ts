import type { PermitRate } from './permitRates.js';

/** A token bucket. It starts empty, so that a new leader adds nothing to what the former one has just granted. */
export class TokenBucket {
  private _tokens = 0;

  public constructor(private _updatedMs: number) {}

  /** Number of whole tokens after adding those that accrued since the last call. */
  public available(rate: PermitRate, nowMs: number): number {
    return Math.floor(this.level(rate, nowMs));
  }

  /** Tokens after adding those that accrued since the last call. Negative if more were taken than there were. */
  public level(rate: PermitRate, nowMs: number): number {
    const elapsedMs = Math.max(nowMs - this._updatedMs, 0);
    this._updatedMs = nowMs;
    this._tokens = Math.min(this._tokens + (elapsedMs * rate.perSecond) / 1_000, rate.capacity);
    return this._tokens;
  }

  /** Time until the token of the request at a position in the queue accrues, milliseconds. The first position is 0. */
  public timeToTokenMs(position: number, rate: PermitRate): number {
    return this.timeToLevelMs(position + 1, rate);
  }

  /** Time until the bucket holds a number of tokens, milliseconds. */
  public timeToLevelMs(tokens: number, rate: PermitRate): number {
    return Math.max(((tokens - this._tokens) * 1_000) / rate.perSecond, 0);
  }

  /** Removes tokens. The bucket owes those that it does not hold. */
  public take(count: number): void {
    this._tokens -= count;
  }
}
