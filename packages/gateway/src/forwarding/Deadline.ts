/** Time before a request's deadline at which the final answer is sent, milliseconds. */
const responseReserveMs = 10;
/** Time limit of a request whose caller and route state none, milliseconds. */
const defaultTimeoutMs = 30_000;

/** The time by which a request has its final answer. */
export class Deadline {
  private _timer: NodeJS.Timeout | undefined;
  private _dueMs = Number.POSITIVE_INFINITY;

  public constructor(private readonly _onReached: () => void) {}

  /** Starts the deadline of a request that came at `startedMs`, steady milliseconds. */
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
