import { isBefore, type TablePosition, type TableRecord, type TableRecords } from '../contracts/MetadataStore.js';
import type { PositionedRecord, RecordOrder } from './RecordOrder.js';

/** The newest records of a table. An older record never replaces a newer one, whichever way it arrives. */
export class TableState {
  private readonly _records = new Map<string, PositionedRecord>();
  private _position: TablePosition = { era: 0, offset: 0 };
  /**
   * Offset of the present era from which this daemon has read each change. Keys that were added and removed before it may
   * be unknown, because a full table and the records of a peer show only what remained.
   */
  private _completeFrom = 0;

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

  /** Keys of all records that are not removed, if a removal since an offset may be unknown here; undefined if none is. */
  public keysIfIncompleteSince(offset: number): readonly string[] | undefined {
    return offset < this._completeFrom ? this.records().map(({ key }) => key) : undefined;
  }

  /** Records that a peer has sent all changes before a position. A later era is entered only with its full table. */
  public advanceTo(position: TablePosition): void {
    if (this._advance(position)) {
      this._completeFrom = position.offset;
    }
  }

  /** Applies changes read from the store, in order of offset; returns the records that are newer than the known ones. */
  public applyChanges({ records, end, era }: TableRecords): readonly TableRecord[] {
    this._advance({ era, offset: end });
    return this._applyRecords(records, era);
  }

  /**
   * Applies changes that a peer has sent; returns the records that are newer than the known ones. If the keys of all
   * records that exist at the end of the changes are given, other keys are removed.
   */
  public applyPeerChanges(
    { records, end, era }: TableRecords,
    presentKeys?: readonly string[],
  ): readonly TableRecord[] {
    const removed = presentKeys === undefined ? [] : this._removalsOfOthers(new Set(presentKeys), { era, offset: end });
    this.advanceTo({ era, offset: end });
    return this._applyRecords([...records, ...removed], era);
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
    const removed = this._removalsOfOthers(new Set(table.records.map(({ key }) => key)), { era, offset: end });
    this._position = { era, offset: end };
    this._completeFrom = end;
    return this._applyRecords([...table.records, ...removed], era);
  }

  private _advance(position: TablePosition): boolean {
    const isNewer = position.era === this._position.era && position.offset > this._position.offset;
    this._position = isNewer ? position : this._position;
    return isNewer;
  }

  private _applyRecords(records: readonly TableRecord[], era: number): readonly TableRecord[] {
    const isPast = era < this._position.era;
    return isPast && !this._order.spansEras ? [] : records.filter((record) => this._apply({ ...record, era }));
  }

  /** Removals of the known keys that are not present at a position, unless a record after it has added them. */
  private _removalsOfOthers(presentKeys: ReadonlySet<string>, position: TablePosition): readonly TableRecord[] {
    return [...this._records.values()]
      .filter((record) => record.value !== undefined && !presentKeys.has(record.key))
      .filter((record) => isBefore(record, position))
      .map(({ key }) => ({ key, offset: position.offset - 1 }));
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
