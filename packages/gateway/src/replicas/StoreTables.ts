import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, TableName } from '../contracts/index.js';
import type { PeerChannel } from '../peers/PeerChannel.js';
import { evictOldest } from '../evictOldest.js';
import { elapsedMs } from '../leadership/Lease.js';
import type { Instant } from '../Types.js';
import { ConfigurationOrder } from './ConfigurationOrder.js';
import type { RecordOrder } from './RecordOrder.js';
import { ReplicaOrder } from './ReplicaOrder.js';
import { sendMissingRecords } from '../peers/sendMissingRecords.js';
import type { TableOffsets, TableMessage } from '../peers/Types.js';
import { PeerReads } from './PeerReads.js';
import { removalGraceMs } from './removalGrace.js';
import { type ReadTiming, TableSynchronizer, type TableUpdate } from './TableSynchronizer.js';

const tableNames: readonly TableName[] = ['configuration', 'replicas'];

/** Time for which a read of the replicas counts as recent, milliseconds. Without a leader, daemons read less often. */
const recentReadMs = 3_000;
/** Largest number of peers that wait for an answer; a peer whose connection has ended stays until then. */
const maximumWaitingPeers = 1_024;

/** The tables of the store that a daemon keeps up to date, by its own reads and from records that peers forward. */
export class StoreTables implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _onUpdate = new common.Emitter<TableUpdate>();
  public readonly onUpdate = this._onUpdate.event;
  private readonly _synchronizers: Readonly<Record<TableName, TableSynchronizer>>;
  /** Tables of which the followed peer has sent all records that this daemon lacked. */
  private readonly _caughtUp = new Set<TableName>();
  private _followed: Pick<PeerChannel, 'send'> | undefined;
  /** Era in which the followed peer was last asked for a full table, by table. */
  private readonly _askedInEra = new Map<TableName, number>();
  private _eraTimer: NodeJS.Timeout | undefined;
  private _restoredMs = Number.NEGATIVE_INFINITY;
  private readonly _peerReads = new PeerReads();
  /** Peers that have read more of a table than this daemon, with what they have read. */
  private readonly _waitingPeers: Readonly<Record<TableName, Map<Pick<PeerChannel, 'send'>, TableOffsets>>> = {
    configuration: new Map(),
    replicas: new Map(),
  };
  /** When the store last answered a read of the replicas. */
  private _readAt: Instant | undefined;
  private readonly _onReplicasRead = new common.Emitter<void>();
  /** Fires when the store has answered a read of the replicas without delay. */
  public readonly onReplicasRead = this._onReplicasRead.event;

  public constructor(
    private readonly _store: MetadataStore,
    /** Time until this daemon reads the store after a peer has announced another era, milliseconds. */
    private readonly _eraDelayMs: () => number,
    /** Time between two liveness reports of a replica, milliseconds. */
    private readonly _livenessMs: number,
    private readonly _clock: Clock,
    log: common.Logger,
  ) {
    const createSynchronizer = (table: TableName, order: RecordOrder): TableSynchronizer => {
      const synchronizer = new TableSynchronizer(_store, table, order, _clock, log);
      this._resources.register(synchronizer);
      synchronizer.onTableUnreadable((unreadable) => {
        this._askFollowedPeer(unreadable);
      });
      synchronizer.onUpdate((update) => {
        this._onUpdate.fire(update);
      });
      synchronizer.onRead(({ isPrompt }) => {
        if (table === 'replicas') {
          this._readAt = this._clock.now();
        }
        if (isPrompt && table === 'replicas') {
          this._onReplicasRead.fire();
        }
        this._answerWaitingPeers();
      });
      return synchronizer;
    };
    _store.era.onChanged(() => {
      this._restoredMs = this._clock.now().steadyMs;
    });
    this._synchronizers = {
      configuration: createSynchronizer('configuration', new ConfigurationOrder(_store, log)),
      replicas: createSynchronizer('replicas', new ReplicaOrder(_store)),
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

  /** True if the replicas were read from the store a short time ago, by both clocks. */
  public hasRead(now: Instant): boolean {
    return this._readAt !== undefined && elapsedMs(this._readAt, now) < recentReadMs;
  }

  /** True if the known state certainly lags the store by no more than a second. */
  public isCurrent(nowMs: number): boolean {
    return this._synchronizers.configuration.isCurrent(nowMs) && this._synchronizers.replicas.isCurrent(nowMs);
  }

  /**
   * Time for which a replica stays in use whose removal this daemon learns of now, milliseconds. `isRestored` is true if
   * the removal is known only from the copy from which the store was restored.
   */
  public removalGraceMs(nowMs: number, isRestored: boolean): number {
    const input = {
      outage: this._synchronizers.replicas.outage,
      peerReadsMs: this._peerReads.timesMs,
      livenessMs: this._livenessMs,
      restoredMs: isRestored ? this._restoredMs : undefined,
    };
    return removalGraceMs(input, nowMs);
  }

  /** Records that a peer has read the replicas. */
  public recordPeerRead(): void {
    this._peerReads.record(this._clock.now().steadyMs);
  }

  /** Offsets before which all changes are known. */
  public endOffsets(): TableOffsets {
    const { configuration, replicas } = this._synchronizers;
    const positions = { configuration: configuration.state.position, replicas: replicas.state.position };
    return {
      configuration: positions.configuration.offset,
      replicas: positions.replicas.offset,
      eras: { configuration: positions.configuration.era, replicas: positions.replicas.era },
    };
  }

  /**
   * Sends a peer that follows this daemon the records that it lacks. If the peer has read more of a table than this daemon,
   * it is not said to have caught up before this daemon has read as much.
   */
  public sendMissingRecords(channel: Pick<PeerChannel, 'send'>, readOffsets: TableOffsets): void {
    this._followEra(readOffsets.eras?.configuration);
    for (const table of tableNames) {
      if (this._hasReadAsMuch(table, readOffsets)) {
        this._answer(channel, table, readOffsets);
      } else {
        this._waitingPeers[table].set(channel, readOffsets);
        this._sendSingleRecords(channel, table, readOffsets[table]);
      }
    }
  }

  /** Begins to follow another peer, and sends it the offsets up to which changes are known. */
  public followPeer(channel: Pick<PeerChannel, 'send'>): void {
    this._caughtUp.clear();
    this._askedInEra.clear();
    this._followed = channel;
    channel.send('known', this.endOffsets());
  }

  /** Applies records received from a peer that follows this daemon. */
  public applyFromFollower(message: TableMessage): void {
    this._followEra(message.era);
    this._synchronizers[message.table].applyFromPeer(message, 'follower');
  }

  /** Applies records received from the followed peer. */
  public applyFromFollowedPeer(message: TableMessage): void {
    this._followEra(message.era);
    this._synchronizers[message.table].applyFromPeer(message, 'leader');
    if (message.end > 0) {
      this._caughtUp.add(message.table);
    }
    this._answerWaitingPeers();
  }

  /** Advances to the followed peer's offsets: it has sent all relevant changes before them, so no read is needed. */
  public advance(endOffsets: TableOffsets): void {
    this._followEra(endOffsets.eras?.configuration);
    for (const table of this._caughtUp) {
      const { state } = this._synchronizers[table];
      state.advanceTo({ era: endOffsets.eras?.[table] ?? state.position.era, offset: endOffsets[table] });
    }
    this._answerWaitingPeers();
  }

  private _answerWaitingPeers(): void {
    for (const table of tableNames) {
      const peers = this._waitingPeers[table];
      for (const [channel, readOffsets] of peers) {
        if (this._hasReadAsMuch(table, readOffsets)) {
          peers.delete(channel);
          this._answer(channel, table, readOffsets);
        }
      }
      evictOldest(peers, maximumWaitingPeers);
    }
  }

  private _answer(channel: Pick<PeerChannel, 'send'>, table: TableName, readOffsets: TableOffsets): void {
    const graceMs = this.removalGraceMs(this._clock.now().steadyMs, false);
    sendMissingRecords(channel, table, this._synchronizers[table].state, readOffsets, graceMs);
  }

  /** Sends the records from an offset on that other peers have forwarded to this daemon. */
  private _sendSingleRecords(channel: Pick<PeerChannel, 'send'>, table: TableName, offset: number): void {
    const { state } = this._synchronizers[table];
    const records = state.recordsSince(offset);
    if (records.length > 0) {
      const removalGraceMs = this.removalGraceMs(this._clock.now().steadyMs, false);
      channel.send('table', { table, records, end: 0, whole: false, era: state.position.era, removalGraceMs });
    }
  }

  private _hasReadAsMuch(table: TableName, readOffsets: TableOffsets): boolean {
    const { era, offset } = this._synchronizers[table].state.position;
    const isSameEra = (readOffsets.eras?.[table] ?? era) === era;
    return offset > 0 && (!isSameEra || readOffsets[table] <= offset);
  }

  /** Reads the tables anew if a peer has learned of a later era of the store than this daemon. */
  private _followEra(era: number | undefined): void {
    const known = this._store.era.current;
    if (era !== undefined && known !== undefined && era > known && this._eraTimer === undefined) {
      this._restoredMs = this._clock.now().steadyMs;
      this._eraTimer = setTimeout(() => {
        this._eraTimer = undefined;
        this._store.era.observe(era);
      }, this._eraDelayMs());
    }
  }

  /** Asks the followed peer for a full table, once in each era: this daemon does not reach the store. */
  private _askFollowedPeer(table: TableName): void {
    const era = this._store.era.current ?? 0;
    if (this._askedInEra.get(table) !== era) {
      this._askedInEra.set(table, era);
      this._followed?.send('known', { ...this.endOffsets(), [table]: 0 });
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this._eraTimer);
    await this._resources[Symbol.asyncDispose]();
  }
}
