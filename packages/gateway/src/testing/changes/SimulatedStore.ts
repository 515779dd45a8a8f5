import * as common from '@jayhaven/common';
import {
  MetadataStore,
  type LeaseSnapshot,
  type StoreFailure,
  type TableName,
  type TablePosition,
  type TableRecord,
  type TableRecords,
} from '../../contracts/MetadataStore.js';
import { pause } from '../../pause.js';
import type { Configuration, Replica } from '../../Types.js';
import { FakeTopic } from '../FakeTopic.js';

/** How the store answers a daemon: as usual, with refusals, or not at all. */
export type Reachability = 'served' | 'refused' | 'silent';

/** Time from a call to its answer, milliseconds. */
const callMs = 8;
/** Time after which a call without an answer fails, beyond the wait that it asks for, milliseconds. */
const callTimeoutMs = 900;

/** The store of a simulation, with its reads by all daemons. */
export class SimulatedStore {
  public readonly topics: Readonly<Record<TableName, FakeTopic>> = {
    configuration: new FakeTopic(),
    replicas: new FakeTopic(),
  };
  /** Reads that have arrived. */
  public reads = 0;
  private readonly _onWritten = new common.Emitter<void>();
  public readonly onWritten = this._onWritten.event;

  public write(table: TableName, key: string, value?: unknown): void {
    this.topics[table].write(key, value === undefined ? undefined : JSON.stringify(value));
    this._onWritten.fire();
  }
}

/** One daemon's client of the simulated store. */
export class SimulatedStoreClient extends MetadataStore {
  public reachability: Reachability = 'served';

  public constructor(private readonly _store: SimulatedStore) {
    super();
  }

  public async readTable(table: TableName): Promise<common.Outcome<TableRecords, StoreFailure>> {
    const failure = await this._call(0);
    const records = this._store.topics[table].readTable();
    this.era.observe(records.era);
    return failure ?? common.succeed(records);
  }

  public async readChanges(
    table: TableName,
    from: TablePosition,
    waitMs: number,
  ): Promise<common.Outcome<TableRecords, StoreFailure>> {
    const topic = this._store.topics[table];
    const failure = await this._call(waitMs);
    if (failure !== undefined) {
      return failure;
    }
    if (topic.isDropped(from.offset)) {
      return common.fail({ kind: 'historyDropped', message: 'records are no longer retained' });
    }
    if (topic.end === from.offset) {
      await this._nextWrite(waitMs);
    }
    const records = topic.readChanges(from);
    return records === undefined ? unavailable() : common.succeed(records);
  }

  public readLease(): Promise<common.Outcome<LeaseSnapshot, StoreFailure>> {
    return Promise.resolve(unavailable());
  }

  public writeLease(): Promise<common.Outcome<number, StoreFailure>> {
    return Promise.resolve(unavailable());
  }

  public readBlocks(): Promise<common.Outcome<readonly TableRecord[], StoreFailure>> {
    return Promise.resolve(common.succeed([]));
  }

  public writeBlock(): Promise<common.Outcome<void, StoreFailure>> {
    return Promise.resolve(unavailable());
  }

  public readStreamRecords(): Promise<common.Outcome<TableRecords, StoreFailure>> {
    return Promise.resolve(unavailable());
  }

  public writeStreamRecord(): Promise<common.Outcome<number, StoreFailure>> {
    return Promise.resolve(unavailable());
  }

  public decodeConfiguration(text: string): Configuration {
    return { version: Number(text), routes: [], tenants: [], services: new Map(), callerLimits };
  }

  public decodeReplica(_id: string, text: string): Replica {
    return JSON.parse(text) as Replica;
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  private async _call(waitMs: number): Promise<common.Outcome<never, StoreFailure> | undefined> {
    this._store.reads += 1;
    const { reachability } = this;
    await pause(reachability === 'silent' ? waitMs + callTimeoutMs : callMs);
    return reachability === 'served' ? undefined : unavailable();
  }

  private async _nextWrite(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        unsubscribe();
        clearTimeout(timer);
        resolve();
      };
      const unsubscribe = this._store.onWritten(finish);
      const timer = setTimeout(finish, waitMs);
    });
  }
}

const callerLimits = { maximumHeaderBytes: 0, maximumBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 };

function unavailable(): common.Outcome<never, StoreFailure> {
  return common.fail({ kind: 'unavailable', message: 'not reached' });
}
