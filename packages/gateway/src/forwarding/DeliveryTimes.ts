/** When the parts of an answer were passed on to the caller: the first one, and the longest pause between two. */
export class DeliveryTimes {
  private _firstMs: number | undefined;
  private _lastMs = 0;
  private _longestGapMs = 0;

  /** Records that a part of the answer was passed on. */
  public record(nowMs: number): void {
    if (this._firstMs === undefined) {
      this._firstMs = nowMs;
    } else {
      this._longestGapMs = Math.max(this._longestGapMs, nowMs - this._lastMs);
    }
    this._lastMs = nowMs;
  }

  /** Time from a start to the first part, milliseconds; undefined if there was none. */
  public firstAfterMs(startMs: number): number | undefined {
    return this._firstMs === undefined ? undefined : this._firstMs - startMs;
  }

  /** Longest pause between two parts, milliseconds; undefined if there was no part. */
  public get longestGapMs(): number | undefined {
    return this._firstMs === undefined ? undefined : this._longestGapMs;
  }
}
