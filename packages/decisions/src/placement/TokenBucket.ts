/** Loads that take longer than expected by more than this factor reduce the rate. */
const slowLoadFactor = 1.5;
/** Factor that a slow load multiplies the rate by. */
const decreaseFactor = 0.7;
/** Rate increase after each load that is not slow, as a share of the configured rate. */
const increaseShare = 0.05;
/** Lowest rate, as a share of the configured rate. Loads have to continue so that a recovery is detected. */
const minimumRateShare = 0.2;

/** Limits the load rate; slower while loads take longer than expected (additive increase, multiplicative decrease). */
export class TokenBucket {
  private readonly _configuredPerSecond: number;
  private _perSecond: number;
  private _tokens: number;
  private _refilledAtMs: number;

  public constructor(perSecond: number, nowMs: number) {
    this._configuredPerSecond = perSecond;
    this._perSecond = perSecond;
    this._tokens = this._capacity;
    this._refilledAtMs = nowMs;
  }

  /** Currently allowed loads per second. */
  public get perSecond(): number {
    return this._perSecond;
  }

  /** Takes a token; returns false if none is available. */
  public take(nowMs: number): boolean {
    this._refill(nowMs);
    if (this._tokens < 1) {
      return false;
    }
    this._tokens -= 1;
    return true;
  }

  /** Returns the token of a load that was not decided. */
  public returnToken(): void {
    this._tokens = Math.min(this._capacity, this._tokens + 1);
  }

  /** Time until a load with `position` loads ahead of it gets a token, milliseconds. */
  public waitMs(position: number, nowMs: number): number {
    this._refill(nowMs);
    return Math.max(0, ((position + 1 - this._tokens) / this._perSecond) * 1_000);
  }

  /** Adapts the rate to the duration of a finished load. */
  public observe(expectedMs: number, actualMs: number): void {
    this._perSecond =
      actualMs > expectedMs * slowLoadFactor
        ? Math.max(this._configuredPerSecond * minimumRateShare, this._perSecond * decreaseFactor)
        : Math.min(this._configuredPerSecond, this._perSecond + this._configuredPerSecond * increaseShare);
  }

  /** Tokens of one second, because the limits of the weight store are per second. */
  private get _capacity(): number {
    return Math.max(1, this._configuredPerSecond);
  }

  private _refill(nowMs: number): void {
    this._tokens = Math.min(this._capacity, this._tokens + ((nowMs - this._refilledAtMs) / 1_000) * this._perSecond);
    this._refilledAtMs = nowMs;
  }
}
