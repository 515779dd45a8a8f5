import * as common from '@jayhaven/common';
import type { MetadataStore, StoreFailure, TablePosition, TableRecords } from '../../contracts/MetadataStore.js';
import { StoreEra } from '../../contracts/StoreEra.js';
import { pause } from '../../pause.js';
import { decodeHistory, historyKey } from '../../streams/StreamRecords.js';
import type { ServiceVersions } from '../../streams/Types.js';
import { FakeTopic } from '../FakeTopic.js';

/** Time after which a call to a store that is down fails, milliseconds. */
const callTimeoutMs = 900;
/** Largest record that the store takes, bytes. */
const maximumRecordBytes = 256 * 1_024;

/** The calls of a store for streams. */
export type StreamStore = Pick<MetadataStore, 'readStreamRecords' | 'writeStreamRecord' | 'era'>;

/** The store's table for streams, which can be down, late, lose answers, and be restored from a copy. */
export class SimulatedStreamStore {
  public readonly topic = new FakeTopic();
  public isDown = false;
  /** Calls that have been made. */
  public calls = 0;
  /** Writes that have taken effect. */
  public writes = 0;
  private _era = 1;

  /** Time from the next call to its answer, milliseconds. */
  public callMs: () => number = () => 8;
  /** Whether the answer to the next write gets lost. */
  public losesAnswer: () => boolean = () => false;

  public get era(): number {
    return this._era;
  }

  /** The stored versions of all services. */
  public get versions(): ServiceVersions | undefined {
    return decodeHistory(this.topic.newest(historyKey) ?? '')?.versions;
  }

  public restore(): void {
    this.topic.restore();
    this._era += 1;
  }

  /** Appends a record if the table ends at an offset. The condition compares offsets only, as that of the platform. */
  public append(expectedEnd: number, key: string, value: string): common.Outcome<number, StoreFailure> {
    if (Buffer.byteLength(value) > maximumRecordBytes) {
      return common.fail({ kind: 'unavailable', message: 'the record is too large' });
    }
    if (expectedEnd !== this.topic.end) {
      return common.fail({ kind: 'conflict', message: 'the table has grown meanwhile' });
    }
    this.topic.write(key, value);
    this.writes += 1;
    return common.succeed(expectedEnd);
  }
}

/** One daemon's client of the simulated store. */
export class SimulatedStreamStoreClient implements StreamStore {
  public readonly era = new StoreEra();

  public constructor(
    private readonly _store: SimulatedStreamStore,
    /** Resolves once the daemon runs; never if it has ended. */
    private readonly _whenRunning: () => Promise<void> = () => Promise.resolve(),
    /** False while the daemon is cut off from the store. */
    private readonly _isConnected: () => boolean = () => true,
  ) {}

  public readStreamRecords(): Promise<common.Outcome<TableRecords, StoreFailure>> {
    return this._call(() => common.succeed(this._store.topic.readTable()));
  }

  public writeStreamRecord(
    { era, offset }: TablePosition,
    key: string,
    value: string,
  ): Promise<common.Outcome<number, StoreFailure>> {
    if (this.era.current !== undefined && this.era.current !== era) {
      return Promise.resolve(restored());
    }
    const losesAnswer = this._store.losesAnswer();
    return this._call(() => {
      const outcome = this._store.append(offset, key, value);
      return losesAnswer ? unavailable() : this._store.era === era ? outcome : restored();
    });
  }

  private async _call<Value>(
    call: () => common.Outcome<Value, StoreFailure>,
  ): Promise<common.Outcome<Value, StoreFailure>> {
    this._store.calls += 1;
    const delayMs = this._store.callMs();
    await pause(delayMs / 2);
    const isReached = !this._store.isDown && this._isConnected();
    const era = this._store.era;
    const outcome = isReached ? call() : unavailable();
    await pause(isReached ? delayMs / 2 : callTimeoutMs);
    await this._whenRunning();
    const isAnswered = isReached && !this._store.isDown && this._isConnected() && this.era.observe(era);
    return isAnswered ? outcome : unavailable();
  }
}

function unavailable(): common.Outcome<never, StoreFailure> {
  return common.fail({ kind: 'unavailable', message: 'not reached' });
}

function restored(): common.Outcome<never, StoreFailure> {
  return common.fail({ kind: 'restored', message: 'the store was restored meanwhile' });
}
