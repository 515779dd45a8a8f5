/** Time in which the load balancer removes a stopping daemon, after two failed checks a second apart, milliseconds. */
const balancerNoticeMs = 2_600;

/** Decides which requests a stopping daemon still accepts, and how long it waits before it ends. */
export class StopSchedule {
  private _startedMs: number | undefined;
  private _isEnded = false;

  /** `limitMs` is the longest time that a stop may take, milliseconds. */
  public constructor(private readonly _limitMs: number) {}

  public start(nowMs: number): void {
    this._startedMs ??= nowMs;
  }

  /** Marks the end of the process: from now on no request is accepted. */
  public end(): void {
    this._isEnded = true;
  }

  public get isStopping(): boolean {
    return this._startedMs !== undefined;
  }

  /**
   * Longest time that a request accepted now may take, milliseconds. A longer one would be cut off at the stop limit.
   * Callers arrive until the load balancer has removed the daemon, so until then every request is accepted.
   */
  public longestRequestMs(nowMs: number): number {
    if (this._isEnded) {
      return 0;
    }
    const elapsedMs = this._elapsedMs(nowMs);
    return elapsedMs < balancerNoticeMs ? Number.POSITIVE_INFINITY : this._limitMs - elapsedMs;
  }

  /** True while the daemon waits for callers that may still arrive and for its running requests. */
  public shouldWait(activeRequests: number, nowMs: number): boolean {
    const elapsedMs = this._elapsedMs(nowMs);
    return elapsedMs < balancerNoticeMs || (activeRequests > 0 && elapsedMs < this._limitMs);
  }

  private _elapsedMs(nowMs: number): number {
    return this._startedMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - this._startedMs;
  }
}
