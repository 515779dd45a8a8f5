import type * as common from '@jayhaven/common';
import type { Configuration, Replica } from '../Types.js';
import { StoreEra } from './StoreEra.js';

/** A table of the platform's metadata store to which the gateway subscribes. */
export type TableName = 'configuration' | 'replicas';

/** The latest record of a key. `value` is absent if the key was removed. */
export interface TableRecord {
  readonly key: string;
  readonly offset: number;
  readonly value?: string;
}

/** A position in a table. Offsets are comparable only within an era of the store. */
export interface TablePosition {
  readonly era: number;
  readonly offset: number;
}

/** True if a position lies before another one. */
export function isBefore(first: TablePosition, second: TablePosition): boolean {
  return first.era === second.era ? first.offset < second.offset : first.era < second.era;
}

/** Result of reading a table. */
export interface TableRecords {
  readonly records: readonly TableRecord[];
  /** Offset after the latest record of the table. */
  readonly end: number;
  /** Era of the store in which the offsets hold. */
  readonly era: number;
}

/** Reason why a call to the store has no result. */
export interface StoreFailure {
  /** `restored`: the store has entered another era since the position on which the call rests was read. */
  readonly kind: 'unavailable' | 'historyDropped' | 'restored' | 'conflict' | 'unreadable';
  readonly message: string;
}

/** The lease record and the end offset that a conditional write must state. */
export interface LeaseSnapshot {
  readonly record?: { readonly offset: number; readonly value: string };
  readonly end: number;
  /** Era of the store in which the offsets hold. */
  readonly era: number;
}

/** Client of the platform's metadata store. */
export abstract class MetadataStore implements AsyncDisposable {
  /** Era of the store, from its answers. */
  public readonly era = new StoreEra();

  /** Reads the latest record of every key. */
  public abstract readTable(table: TableName): Promise<common.Outcome<TableRecords, StoreFailure>>;

  /** Reads the records starting at a position; waits up to `waitMs` for the first one. */
  public abstract readChanges(
    table: TableName,
    from: TablePosition,
    waitMs: number,
  ): Promise<common.Outcome<TableRecords, StoreFailure>>;

  /** Reads the latest record of the lease. */
  public abstract readLease(): Promise<common.Outcome<LeaseSnapshot, StoreFailure>>;

  /** Writes the lease if its table still ends at `expectedEnd`; returns the offset of the new record. */
  public abstract writeLease(expectedEnd: TablePosition, value: string): Promise<common.Outcome<number, StoreFailure>>;

  /** Reads the records of blocked parts of prompts. */
  public abstract readBlocks(): Promise<common.Outcome<readonly TableRecord[], StoreFailure>>;

  /** Writes the record of a block, or removes it if `value` is undefined. The key has at most 64 characters. */
  public abstract writeBlock(key: string, value: string | undefined): Promise<common.Outcome<void, StoreFailure>>;

  /** Reads the records of streams: versions of services, and origins. */
  public abstract readStreamRecords(): Promise<common.Outcome<TableRecords, StoreFailure>>;

  /**
   * Writes a record of streams if their table still ends at `expectedEnd`; returns the offset of the new record. The key has
   * at most 64 characters.
   */
  public abstract writeStreamRecord(
    expectedEnd: TablePosition,
    key: string,
    value: string,
  ): Promise<common.Outcome<number, StoreFailure>>;

  /** Decodes the operators' configuration; undefined if the text is not a valid configuration. */
  public abstract decodeConfiguration(text: string): Configuration | undefined;

  /** Decodes the record that a replica publishes; undefined if the text does not describe a usable replica. */
  public abstract decodeReplica(id: string, text: string): Replica | undefined;

  public abstract [Symbol.asyncDispose](): Promise<void>;
}
