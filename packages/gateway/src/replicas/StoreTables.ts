import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, TableName } from '../contracts/index.js';
import type { PeerChannel } from '../peers/PeerChannel.js';
import { sendMissingRecords } from '../peers/sendMissingRecords.js';
import type { TableOffsets, TableMessage } from '../peers/Types.js';
import { type ReadTiming, TableSynchronizer, type TableUpdate } from './TableSynchronizer.js';

/** The tables of the store that a daemon follows: by reads of its own and by what peers pass on. */
export class StoreTables implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _onUpdate = new common.Emitter<TableUpdate>();
  public readonly onUpdate = this._onUpdate.event;
  private readonly _synchronizers: Readonly<Record<TableName, TableSynchronizer>>;
  /** Tables of which the followed peer has told everything that this daemon lacked. */
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

  /** Reads the replicas whole soon, for a daemon that begins to lead: peers leave out what does not matter to routing. */
  public requestFullReplicaRead(): void {
    this._synchronizers.replicas.requestFullRead();
  }

  /** True if changes of the last second are known for certain. */
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

  /** Tells a peer that follows this daemon what it lacks. */
  public sendMissingRecords(channel: PeerChannel, readOffsets: TableOffsets): void {
    sendMissingRecords(channel, 'configuration', this._synchronizers.configuration.state, readOffsets);
    sendMissingRecords(channel, 'replicas', this._synchronizers.replicas.state, readOffsets);
  }

  /** Begins to follow another peer, and says to it what is known. */
  public followPeer(channel: PeerChannel): void {
    this._caughtUp.clear();
    channel.send('known', this.endOffsets());
  }

  /** Takes over records of any peer. */
  public applyFromPeer(message: TableMessage): void {
    this._synchronizers[message.table].applyFromPeer(message);
  }

  /** Takes over records of the followed peer. */
  public applyFromFollowedPeer(message: TableMessage): void {
    this.applyFromPeer(message);
    if (message.end > 0) {
      this._caughtUp.add(message.table);
    }
  }

  /** The followed peer tells all changes that matter, so those before its own position need not be read. */
  public advance(endOffsets: TableOffsets): void {
    for (const table of this._caughtUp) {
      this._synchronizers[table].state.advanceTo(endOffsets[table]);
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }
}
