/** Inactivity of the log beyond a poll's own wait after which records are also requested from peers. */
const inactivityMs = 1000;
/** Time beyond its own wait after which the first poll without a response is given up, milliseconds. */
const firstResponseTimeoutMs = 1500;
/** Time for which peers may be ahead before records are requested from them. */
const toleratedLagMs = 500;
/** One failed read can be chance; two in a row count as an outage. */
const failuresBeforeDown = 2;

/** Tracks whether the long poll of one topic fails, gets no response, or falls behind peers. */
export class ReadMonitor {
  private _pollStartedMs: number;
  private _lagSinceMs: number | undefined;
  private _failures = 0;
  /** Polls in a row that got no response. */
  private _timeouts = 0;

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
    this._timeouts = 0;
  }

  public pollFailed(nowMs: number): void {
    // A poll that timed out has lasted longer than two quick failures, so it counts as an outage at once.
    const timedOut = this._isInactive(nowMs);
    this._failures += timedOut ? failuresBeforeDown : 1;
    this._timeouts += timedOut ? 1 : 0;
  }

  /**
   * Time beyond its own wait after which the next poll is given up, milliseconds. A log that stops responding for a moment
   * loses the poll, so the first time is short; it doubles up to the limit, so that a slow log can be read as well.
   */
  public responseTimeoutMs(limitMs: number): number {
    return Math.min(firstResponseTimeoutMs * 2 ** this._timeouts, limitMs);
  }

  /** Records whether peers have reported a higher offset than this daemon's. */
  public setBehind(behind: boolean, nowMs: number): void {
    this._lagSinceMs = behind ? (this._lagSinceMs ?? nowMs) : undefined;
  }

  /** Whether reads from the log neither fail nor time out at present. */
  public isReadingFromLog(nowMs: number): boolean {
    return this._failures === 0 && !this._isInactive(nowMs);
  }

  /** Whether records should be requested from peers. */
  public needsPeers(nowMs: number): boolean {
    const lags = this._lagSinceMs !== undefined && nowMs - this._lagSinceMs > toleratedLagMs;
    return lags || !this.isReadingFromLog(nowMs);
  }

  private _isInactive(nowMs: number): boolean {
    return nowMs - this._pollStartedMs > this._pollWaitMs + inactivityMs;
  }
}
