import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, TableName } from '../contracts/index.js';
import type { PeerChannel } from '../peers/PeerChannel.js';
import { sendMissingRecords } from '../peers/sendMissingRecords.js';
import type { TableOffsets, TableMessage } from '../peers/Types.js';
import { type ReadPace, TableFollower, type TableNews } from './TableFollower.js';

/** The tables of the store that a daemon follows: by reads of its own and by what peers pass on. */
export class StoreTables implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _onNews = new common.Emitter<TableNews>();
  public readonly onNews = this._onNews.event;
  private readonly _followers: Readonly<Record<TableName, TableFollower>>;
  /** Tables of which the followed peer has told everything that this daemon lacked. */
  private readonly _caughtUp = new Set<TableName>();

  public constructor(store: MetadataStore, clock: Clock, log: common.Logger) {
    const follow = (table: TableName): TableFollower => {
      const follower = new TableFollower(store, table, clock, log);
      this._resources.register(follower);
      follower.onNews((news) => {
        this._onNews.fire(news);
      });
      return follower;
    };
    this._followers = { configuration: follow('configuration'), replicas: follow('replicas') };
  }

  public start(): void {
    this._followers.configuration.start();
    this._followers.replicas.start();
  }

  public setPace(pace: ReadPace): void {
    this._followers.configuration.setPace(pace);
    this._followers.replicas.setPace(pace);
  }

  /** Reads the replicas whole soon, for a daemon that begins to lead: peers leave out what does not matter to routing. */
  public readReplicasWhole(): void {
    this._followers.replicas.readWhole();
  }

  /** True if changes of the last second are known for certain. */
  public isCurrent(nowMs: number): boolean {
    return this._followers.configuration.isCurrent(nowMs) && this._followers.replicas.isCurrent(nowMs);
  }

  /** When a read of the replicas failed last, steady milliseconds. */
  public get lastReplicaFailureMs(): number {
    return this._followers.replicas.lastFailureMs;
  }

  /** Offsets before which all changes are known. */
  public ends(): TableOffsets {
    const { configuration, replicas } = this._followers;
    return { configuration: configuration.state.end, replicas: replicas.state.end };
  }

  /** Tells a peer that follows this daemon what it lacks. */
  public tellUnknown(channel: PeerChannel, known: TableOffsets): void {
    sendMissingRecords(channel, 'configuration', this._followers.configuration.state, known);
    sendMissingRecords(channel, 'replicas', this._followers.replicas.state, known);
  }

  /** Begins to follow another peer, and says to it what is known. */
  public followPeer(channel: PeerChannel): void {
    this._caughtUp.clear();
    channel.send('known', this.ends());
  }

  /** Takes over records of any peer. */
  public accept(message: TableMessage): void {
    this._followers[message.table].acceptFromPeer(message);
  }

  /** Takes over records of the followed peer. */
  public catchUp(message: TableMessage): void {
    this.accept(message);
    if (message.end > 0) {
      this._caughtUp.add(message.table);
    }
  }

  /** The followed peer tells all changes that matter, so those before its own position need not be read. */
  public advance(ends: TableOffsets): void {
    for (const table of this._caughtUp) {
      this._followers[table].state.advanceTo(ends[table]);
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }
}
