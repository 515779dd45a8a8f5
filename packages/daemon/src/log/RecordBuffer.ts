import type { PeerRecords, RawRecord } from './Types.js';

/** Records kept for peers that cannot read the log; about 20 s of a log at its highest append rate. */
const maximumRecords = 4000;
/** Maximum number of records in one response to a peer. */
const maximumResponseRecords = 500;

/** The latest records of a topic without gaps. */
export class RecordBuffer {
  private _records: RawRecord[] = [];

  /** Adds the next record. */
  public push(record: RawRecord): void {
    this._records.push(record);
    // Trimming only at twice the limit keeps the amortized cost of a push constant.
    if (this._records.length >= 2 * maximumRecords) {
      this._records = this._records.slice(-maximumRecords);
    }
  }

  /** Removes all records; called when the next record does not follow the last one. */
  public clear(): void {
    this._records = [];
  }

  /** Returns the records from an offset, or a gap if they are no longer kept. */
  public from(offset: number, nextOffset: number): PeerRecords {
    const first = this._records[0]?.offset ?? nextOffset;
    if (offset >= nextOffset) {
      return { kind: 'records', records: [], nextOffset };
    }
    if (offset < first) {
      return { kind: 'gap', nextOffset };
    }
    const start = this._firstIndexFrom(offset);
    return { kind: 'records', records: this._records.slice(start, start + maximumResponseRecords), nextOffset };
  }

  private _firstIndexFrom(offset: number): number {
    let low = 0;
    let high = this._records.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((this._records[middle]?.offset ?? 0) < offset) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
