/** Silence of the log beyond a poll's own wait, after which records are also taken from peers. */
const inactivityMs = 1000;
/** Time for which peers may be ahead before records are taken from them. */
const toleratedLagMs = 500;
/** One failed read can be chance; two in a row count as an outage. */
const failuresBeforeDown = 2;

/** Follows the long poll of one topic: whether it fails, stays silent, or falls behind peers. */
export class ReadMonitor {
  private _pollStartedMs: number;
  private _lagSinceMs: number | undefined;
  private _failures = 0;

  public constructor(
    private readonly _pollWaitMs: number,
    nowMs: number,
  ) {
    this._pollStartedMs = nowMs;
  }

  /** Whether the log is known to be unreadable. */
  public get isDown(): boolean {
    return this._failures >= failuresBeforeDown;
  }

  public pollStarted(nowMs: number): void {
    this._pollStartedMs = nowMs;
  }

  public pollSucceeded(): void {
    this._failures = 0;
  }

  public pollFailed(nowMs: number): void {
    // A poll that ran into its time limit has lasted longer than two quick failures.
    this._failures += this._isInactive(nowMs) ? failuresBeforeDown : 1;
  }

  /** Notes whether peers have shown a higher offset than the own one. */
  public setBehind(behind: boolean, nowMs: number): void {
    this._lagSinceMs = behind ? (this._lagSinceMs ?? nowMs) : undefined;
  }

  /** Whether the log cannot be relied on at present. */
  public isReadingFromLog(nowMs: number): boolean {
    return this._failures === 0 && !this._isInactive(nowMs);
  }

  /** Whether records should be taken from peers. */
  public needsPeers(nowMs: number): boolean {
    const lags = this._lagSinceMs !== undefined && nowMs - this._lagSinceMs > toleratedLagMs;
    return lags || !this.isReadingFromLog(nowMs);
  }

  private _isInactive(nowMs: number): boolean {
    return nowMs - this._pollStartedMs > this._pollWaitMs + inactivityMs;
  }
}
