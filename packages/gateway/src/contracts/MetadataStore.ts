import type * as common from '@jayhaven/common';
import type { Configuration, Replica } from '../Types.js';

/** A table of the platform's store that the gateway follows. */
export type TableName = 'configuration' | 'replicas';

/** The newest record of a key. `value` is absent for a removed key. */
export interface TableRecord {
  readonly key: string;
  readonly offset: number;
  readonly value?: string;
}

/** Records of a table. */
export interface TableRecords {
  readonly records: readonly TableRecord[];
  /** Offset after the newest record of the table. */
  readonly end: number;
}

/** Why a call to the store has no result. */
export interface StoreFailure {
  readonly kind: 'unavailable' | 'historyDropped' | 'conflict' | 'unreadable';
  readonly message: string;
}

/** The record of the lease with the offset that a conditional write must name. */
export interface LeaseSnapshot {
  readonly record?: { readonly offset: number; readonly value: string };
  readonly end: number;
}

/** Client of the platform's metadata store. */
export abstract class MetadataStore implements AsyncDisposable {
  /** Reads the newest record of every key. */
  public abstract readTable(table: TableName): Promise<common.Outcome<TableRecords, StoreFailure>>;

  /** Reads records from an offset on; waits up to `waitMs` for the first. */
  public abstract readChanges(
    table: TableName,
    fromOffset: number,
    waitMs: number,
  ): Promise<common.Outcome<TableRecords, StoreFailure>>;

  /** Reads the newest record of the lease. */
  public abstract readLease(): Promise<common.Outcome<LeaseSnapshot, StoreFailure>>;

  /** Writes the lease if its table still ends at `expectedEnd`; returns the offset of the new record. */
  public abstract writeLease(expectedEnd: number, value: string): Promise<common.Outcome<number, StoreFailure>>;

  /** Decodes the operators' configuration; undefined if the text is none. */
  public abstract decodeConfiguration(text: string): Configuration | undefined;

  /** Decodes what a replica says about itself; undefined if the text names no usable replica. */
  public abstract decodeReplica(id: string, text: string): Replica | undefined;

  public abstract [Symbol.asyncDispose](): Promise<void>;
}
