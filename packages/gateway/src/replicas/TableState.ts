import { isBefore, type TablePosition, type TableRecord, type TableRecords } from '../contracts/MetadataStore.js';
import type { PositionedRecord, RecordOrder } from './RecordOrder.js';

/** The newest records of a table. An older record never replaces a newer one, whichever way it arrives. */
export class TableState {
  private readonly _records = new Map<string, PositionedRecord>();
  private _position: TablePosition = { era: 0, offset: 0 };

  public constructor(private readonly _order: RecordOrder) {}

  /** Position from which changes have to be read. Offset 0 means that nothing was read. */
  public get position(): TablePosition {
    return this._position;
  }

  /** The newest record of every key that is not removed. */
  public records(): readonly TableRecord[] {
    return [...this._records.values()].filter((record) => record.value !== undefined).map(withoutEra);
  }

  /**
   * The newest records of keys at or after an offset of the present era, removals included, and those that are newer than
   * what the store shows after a restore.
   */
  public recordsSince(offset: number): readonly TableRecord[] {
    const { era } = this._position;
    return [...this._records.values()]
      .filter((record) => record.isAhead === true || !isBefore(record, { era, offset }))
      .map(withoutEra);
  }

  /** Records that all changes before a position are known. A later era is entered only with its full table. */
  public advanceTo(position: TablePosition): void {
    if (position.era === this._position.era && position.offset > this._position.offset) {
      this._position = position;
    }
  }

  /** Applies changes in order of offset; returns the records that are newer than the known ones. */
  public applyChanges({ records, end, era }: TableRecords): readonly TableRecord[] {
    this.advanceTo({ era, offset: end });
    const isPast = era < this._position.era;
    return isPast && !this._order.spansEras ? [] : records.filter((record) => this._apply({ ...record, era }));
  }

  /**
   * Applies a full table; returns the records that are newer than the known ones, or undefined if the table is older
   * than the known state. A key that the table lacks is removed.
   */
  public applyTable(table: TableRecords): readonly TableRecord[] | undefined {
    const { era, end } = table;
    if (isBefore({ era, offset: end }, this._position)) {
      return undefined;
    }
    const removed = this._missingIn(table).map((key) => ({ key, offset: end - 1 }));
    this._position = { era, offset: end };
    return this.applyChanges({ records: [...table.records, ...removed], end, era });
  }

  /** Keys that are known and that a table lacks, unless a record after the table's end has added them. */
  private _missingIn({ records, end, era }: TableRecords): readonly string[] {
    const present = new Set(records.map((record) => record.key));
    return [...this._records.values()]
      .filter((record) => record.value !== undefined && !present.has(record.key))
      .filter((record) => isBefore(record, { era, offset: end }))
      .map((record) => record.key);
  }

  private _apply(candidate: PositionedRecord): boolean {
    const known = this._records.get(candidate.key);
    if (known === undefined || this._order.supersedes(known, candidate)) {
      this._records.set(candidate.key, candidate);
      return true;
    }
    if (candidate.era > known.era) {
      // The known value stays, at the position of the older copy, so that the next write in this era replaces it.
      this._records.set(candidate.key, {
        ...known,
        era: candidate.era,
        offset: candidate.offset,
        isAhead: true,
      });
    }
    return false;
  }
}

function withoutEra({ key, offset, value }: PositionedRecord): TableRecord {
  return value === undefined ? { key, offset } : { key, offset, value };
}
