import type { TableRecord } from '../contracts/MetadataStore.js';

/** A record with the era of the store in which its offset holds. */
export interface PositionedRecord extends TableRecord {
  readonly era: number;
  /** True if the value is newer than the one that the store shows at this offset after a restore. */
  readonly isAhead?: boolean;
}

/** Decides which of two records of a key is newer. */
export abstract class RecordOrder {
  /** True if records of an earlier era can be newer than those of the present one. */
  public abstract readonly spansEras: boolean;

  public abstract supersedes(known: PositionedRecord, candidate: PositionedRecord): boolean;
}
