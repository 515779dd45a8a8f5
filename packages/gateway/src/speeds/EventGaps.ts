/** Streams with fewer events do not show the speed of their replica: the first event includes the prompt. */
const minimumEvents = 3;

/** Measures the mean time between the events of one stream. */
export class EventGaps {
  private _firstMs: number | undefined;
  private _firstCount = 0;
  private _lastMs = 0;
  private _lastCount = 0;

  /** Records the number of complete events received so far. */
  public record(completeEvents: number, nowMs: number): void {
    if (completeEvents === this._lastCount) {
      return;
    }
    if (this._firstMs === undefined) {
      this._firstMs = nowMs;
      this._firstCount = completeEvents;
    }
    this._lastMs = nowMs;
    this._lastCount = completeEvents;
  }

  /** Mean time between two events, milliseconds; undefined if there were too few. */
  public get meanMs(): number | undefined {
    const gaps = this._lastCount - this._firstCount;
    return this._firstMs === undefined || gaps < minimumEvents - 1 ? undefined : (this._lastMs - this._firstMs) / gaps;
  }
}
