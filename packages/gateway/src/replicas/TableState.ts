import type { TableRecord, TableRecords } from '../contracts/MetadataStore.js';

/** The newest records of a table. An older record never replaces a newer one, whichever way it arrives. */
export class TableState {
  private readonly _records = new Map<string, TableRecord>();
  private _end = 0;

  /** Offset from which changes have to be read. */
  public get end(): number {
    return this._end;
  }

  /** The newest record of every key that is not removed. */
  public records(): readonly TableRecord[] {
    return [...this._records.values()].filter((record) => record.value !== undefined);
  }

  /** The newest records of keys at or after an offset, removals included. */
  public recordsSince(offset: number): readonly TableRecord[] {
    return [...this._records.values()].filter((record) => record.offset >= offset);
  }

  /** Records that all changes before an offset are known. */
  public advanceTo(end: number): void {
    this._end = Math.max(this._end, end);
  }

  /** Applies changes in order of offset; returns the records that are newer than the known ones. */
  public applyChanges(changes: Omit<TableRecords, 'era'>): readonly TableRecord[] {
    this.advanceTo(changes.end);
    return changes.records.filter((record) => this._apply(record));
  }

  /**
   * Applies a full table; returns the records that are newer than the known ones, or undefined if the table is older
   * than the known state. A key that the table lacks is removed.
   */
  public applyTable(table: Omit<TableRecords, 'era'>): readonly TableRecord[] | undefined {
    if (table.end < this._end) {
      return undefined;
    }
    const present = new Set(table.records.map((record) => record.key));
    const removed = this.records()
      .filter((record) => !present.has(record.key) && record.offset < table.end)
      .map((record) => ({ key: record.key, offset: table.end - 1 }));
    return this.applyChanges({ records: [...table.records, ...removed], end: table.end });
  }

  private _apply(record: TableRecord): boolean {
    const current = this._records.get(record.key);
    if (current !== undefined && current.offset >= record.offset) {
      return false;
    }
    this._records.set(record.key, record);
    return true;
  }
}
