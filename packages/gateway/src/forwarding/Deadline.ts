/** Time before a request's deadline at which the final response is sent, milliseconds. */
const responseReserveMs = 10;
/** Time limit of a request whose caller states none, milliseconds. */
const defaultTimeoutMs = 30_000;

/** Time by which a request must have its final response. */
export class Deadline {
  private _timer: NodeJS.Timeout | undefined;
  private _dueMs = Number.POSITIVE_INFINITY;

  public constructor(private readonly _onReached: () => void) {}

  /** Starts the deadline of a request that arrived at `startedMs`, steady milliseconds. */
  public start(startedMs: number, callerLimitMs: number | undefined, routeLimitMs: number): void {
    const limitMs = Math.min(callerLimitMs ?? defaultTimeoutMs, routeLimitMs);
    this._dueMs = startedMs + limitMs;
    this._timer = setTimeout(this._onReached, Math.max(limitMs - responseReserveMs, 0));
  }

  /** Time left, milliseconds; infinite before the start. */
  public leftMs(nowMs: number): number {
    return this._dueMs - nowMs;
  }

  public stop(): void {
    clearTimeout(this._timer);
  }
}
