import type { TablePosition, TableRecord, TableRecords } from '../contracts/MetadataStore.js';

/** One topic of a store that can be restored from a copy of its records. */
export class FakeTopic {
  private _records: TableRecord[] = [];
  private _copy: readonly TableRecord[] = [];
  private _era = 1;
  private _firstRetained = 0;

  public write(key: string, value?: string): void {
    this._records.push({ key, offset: this._records.length, ...(value !== undefined && { value }) });
  }

  /** Keeps the present records as the copy from which the store is restored. */
  public copy(): void {
    this._copy = [...this._records];
  }

  public restore(): void {
    this._records = [...this._copy];
    this._era += 1;
  }

  /** Offset after the latest record. */
  public get end(): number {
    return this._records.length;
  }

  /** Drops the history; the newest record of each key is kept. */
  public dropHistory(): void {
    this._firstRetained = this._records.length;
  }

  /** True if records from an offset on are no longer retained. */
  public isDropped(offset: number): boolean {
    return offset < this._firstRetained;
  }

  public newest(key: string): string | undefined {
    return this._records.findLast((record) => record.key === key)?.value;
  }

  public readTable(): TableRecords {
    const newest = new Map(this._records.map((record) => [record.key, record]));
    const records = [...newest.values()].filter((record) => record.value !== undefined);
    return { records, end: this._records.length, era: this._era };
  }

  /** Records from a position; undefined if a reader has to read the full table. */
  public readChanges({ era, offset }: TablePosition): TableRecords | undefined {
    const isReadable = era === this._era && offset <= this._records.length;
    return isReadable ? { records: this._records.slice(offset), end: this._records.length, era } : undefined;
  }
}
