/** Time for which reads are kept, well above the time in which a record expires and is written again, milliseconds. */
const retentionMs = 20_000;

/** Reads of the store by peers while this daemon does not reach it. They show that the store itself is not out of reach. */
export class PeerReads {
  private _timesMs: number[] = [];

  /** Times of the reads, steady milliseconds, in order. */
  public get timesMs(): readonly number[] {
    return this._timesMs;
  }

  public record(nowMs: number): void {
    this._timesMs = [...this._timesMs.filter((timeMs) => nowMs - timeMs < retentionMs), nowMs];
  }
}
