import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, TableName } from '../contracts/index.js';
import type { PeerChannel } from '../peers/PeerChannel.js';
import { sendMissingRecords } from '../peers/sendMissingRecords.js';
import type { TableOffsets, TableMessage } from '../peers/Types.js';
import { type ReadTiming, TableSynchronizer, type TableUpdate } from './TableSynchronizer.js';

/** The tables of the store that a daemon keeps up to date, by its own reads and from records that peers forward. */
export class StoreTables implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _onUpdate = new common.Emitter<TableUpdate>();
  public readonly onUpdate = this._onUpdate.event;
  private readonly _synchronizers: Readonly<Record<TableName, TableSynchronizer>>;
  /** Tables of which the followed peer has sent all records that this daemon lacked. */
  private readonly _caughtUp = new Set<TableName>();

  public constructor(store: MetadataStore, clock: Clock, log: common.Logger) {
    const createSynchronizer = (table: TableName): TableSynchronizer => {
      const synchronizer = new TableSynchronizer(store, table, clock, log);
      this._resources.register(synchronizer);
      synchronizer.onUpdate((update) => {
        this._onUpdate.fire(update);
      });
      return synchronizer;
    };
    this._synchronizers = {
      configuration: createSynchronizer('configuration'),
      replicas: createSynchronizer('replicas'),
    };
  }

  public start(): void {
    this._synchronizers.configuration.start();
    this._synchronizers.replicas.start();
  }

  public setTiming(timing: ReadTiming): void {
    this._synchronizers.configuration.setTiming(timing);
    this._synchronizers.replicas.setTiming(timing);
  }

  /** Schedules a full read of the replicas for a new leader. Peers forward only changes relevant to routing. */
  public requestFullReplicaRead(): void {
    this._synchronizers.replicas.requestFullRead();
  }

  /** True if the known state certainly lags the store by no more than a second. */
  public isCurrent(nowMs: number): boolean {
    return this._synchronizers.configuration.isCurrent(nowMs) && this._synchronizers.replicas.isCurrent(nowMs);
  }

  /** When a read of the replicas failed last, steady milliseconds. */
  public get lastReplicaReadFailureMs(): number {
    return this._synchronizers.replicas.lastFailureMs;
  }

  /** Offsets before which all changes are known. */
  public endOffsets(): TableOffsets {
    const { configuration, replicas } = this._synchronizers;
    return { configuration: configuration.state.end, replicas: replicas.state.end };
  }

  /** Sends a peer that follows this daemon the records that it lacks. */
  public sendMissingRecords(channel: PeerChannel, readOffsets: TableOffsets): void {
    sendMissingRecords(channel, 'configuration', this._synchronizers.configuration.state, readOffsets);
    sendMissingRecords(channel, 'replicas', this._synchronizers.replicas.state, readOffsets);
  }

  /** Begins to follow another peer, and sends it the offsets up to which changes are known. */
  public followPeer(channel: PeerChannel): void {
    this._caughtUp.clear();
    channel.send('known', this.endOffsets());
  }

  /** Applies records received from any peer. */
  public applyFromPeer(message: TableMessage): void {
    this._synchronizers[message.table].applyFromPeer(message);
  }

  /** Applies records received from the followed peer. */
  public applyFromFollowedPeer(message: TableMessage): void {
    this.applyFromPeer(message);
    if (message.end > 0) {
      this._caughtUp.add(message.table);
    }
  }

  /** Advances to the followed peer's offsets: it has sent all relevant changes before them, so no read is needed. */
  public advance(endOffsets: TableOffsets): void {
    for (const table of this._caughtUp) {
      this._synchronizers[table].state.advanceTo(endOffsets[table]);
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }
}
