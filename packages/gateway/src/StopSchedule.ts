/** The balancer takes a daemon out after two status checks, one a second. */
const balancerNoticeMs = 2_600;

/** What a stopping daemon still accepts, and how long it goes on. */
export class StopSchedule {
  private _startedMs: number | undefined;
  private _ended = false;

  /** `limitMs` is the longest time that a stop may take, milliseconds. */
  public constructor(private readonly _limitMs: number) {}

  public start(nowMs: number): void {
    this._startedMs ??= nowMs;
  }

  /** Says that the process ends: from now on nothing is accepted. */
  public end(): void {
    this._ended = true;
  }

  public get isStopping(): boolean {
    return this._startedMs !== undefined;
  }

  /**
   * Longest time that a request accepted now may take, milliseconds. A request that may last longer would be cut at the
   * stop limit. Callers arrive until the balancer has noticed the stop, so until then every request is accepted.
   */
  public longestRequestMs(nowMs: number): number {
    if (this._ended) {
      return 0;
    }
    const passedMs = this._passedMs(nowMs);
    return passedMs < balancerNoticeMs ? Number.POSITIVE_INFINITY : this._limitMs - passedMs;
  }

  /** True while the daemon waits for callers that may still arrive and for its running requests. */
  public goesOn(activeRequests: number, nowMs: number): boolean {
    const passedMs = this._passedMs(nowMs);
    return passedMs < balancerNoticeMs || (activeRequests > 0 && passedMs < this._limitMs);
  }

  private _passedMs(nowMs: number): number {
    return this._startedMs === undefined ? Number.NEGATIVE_INFINITY : nowMs - this._startedMs;
  }
}
