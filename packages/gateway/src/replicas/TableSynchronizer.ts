import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, TableName, TablePosition, TableRecord, TableRecords } from '../contracts/MetadataStore.js';
import type { MessageIntervals } from '../peers/messageIntervals.js';
import type { TableMessage } from '../peers/Types.js';
import type { RecordOrder } from './RecordOrder.js';
import { type OutageTimes, StoreOutage } from './StoreOutage.js';
import { TableState } from './TableState.js';

/** Timing of the reads of a table, milliseconds. */
export interface ReadTiming {
  /** Longest wait of one read for a change. */
  readonly waitMs: number;
  /** Least time between two reads; the mean one if they are spread. */
  readonly intervalMs: number;
  /** True if the time between two reads varies at random, so that daemons that begin together read at different times. */
  readonly isSpread: boolean;
  /** Longest pause after a failed read. */
  readonly retryMs: number;
}

/**
 * Longest wait of a read of a daemon on which no others depend, milliseconds. A connection that goes silent during the
 * read must be detected, and the read repeated on another, well within the 2 s in which a change takes effect. That holds
 * also while the leader forwards changes, as it may be lost during the read.
 */
const defaultWaitMs = 800;
/** Timing while the leader forwards changes, so that one reader serves all daemons. */
const assistedTiming: ReadTiming = { waitMs: defaultWaitMs, intervalMs: 30_000, isSpread: false, retryMs: 3_000 };
/** Timing while others depend on this daemon: they must be notified within a second if it does not reach the store. */
const timingForFollowers: ReadTiming = { waitMs: 600, intervalMs: 300, isSpread: false, retryMs: 800 };

/** State of the leader and of the followers, on which the timing of reads depends. */
export interface ReadSituation {
  /**
   * `current`: a leader is alive and forwards all changes. `cutOff`: it is alive, but does not reach the store.
   * `unheard`: no messages from a leader arrive.
   */
  readonly leader: 'current' | 'cutOff' | 'unheard';
  readonly hasFollowers: boolean;
  readonly intervals: MessageIntervals;
}

/**
 * Returns the timing of reads. While a live leader does not reach the store, its followers share the reads and forward
 * changes through it, so the total number of calls stays bounded.
 */
export function readTiming({ leader, hasFollowers, intervals }: ReadSituation): ReadTiming {
  // Even while the followed daemon forwards changes, since it may follow this one.
  if (hasFollowers) {
    return timingForFollowers;
  }
  if (leader === 'current') {
    return assistedTiming;
  }
  // The followers of a leader that is cut off all begin to read when it says so. One of them must read at any time.
  const isSpread = leader === 'cutOff';
  const intervalMs = isSpread ? intervals.sharedReadMs : intervals.leaderlessReadMs;
  return { waitMs: defaultWaitMs, intervalMs, isSpread, retryMs: Math.max(intervalMs, firstRetryMs) };
}

/** Delay of a read that indicates an unreachable store, milliseconds. The store normally answers within a few ms. */
const lateReadMs = 300;
/** Pause after the first failed read, milliseconds; it doubles with each further failure. */
const firstRetryMs = 150;

type ReadResult = 'done' | 'failed' | 'stale';

/** Where records come from: a read of this daemon, the peer that it follows, or one that follows it. */
export type RecordSource = 'store' | 'leader' | 'follower';

/** New records of a table with their source. */
export interface TableUpdate {
  readonly table: TableName;
  readonly records: readonly TableRecord[];
  readonly source: RecordSource;
  /** Era of the store in which the offsets of the records hold. */
  readonly era: number;
  /** Time for which removed replicas stay in use by the judgement of the peer that sent the records, milliseconds. */
  readonly removalGraceMs?: number;
  /** True if the records are the first known ones of an era that began when the store was restored from a copy. */
  readonly isRestored: boolean;
}

/** A read that the store has answered. */
export interface TableRead {
  readonly table: TableName;
  /** True if the answer to a read of changes came without delay. */
  readonly isPrompt: boolean;
}

/** Keeps one table of the store up to date, by reads of the store and from records that peers forward. */
export class TableSynchronizer implements AsyncDisposable {
  public readonly state: TableState;
  private readonly _onUpdate = new common.Emitter<TableUpdate>();
  public readonly onUpdate = this._onUpdate.event;
  private readonly _onTableUnreadable = new common.Emitter<TableName>();
  /** Fires when the first table of a new era cannot be read, so that only a peer can supply it. */
  public readonly onTableUnreadable = this._onTableUnreadable.event;
  private readonly _onRead = new common.Emitter<TableRead>();
  /** Fires when the store has answered a read, after the records are applied. */
  public readonly onRead = this._onRead.event;
  private _stopped = false;
  private readonly _outage = new StoreOutage();
  /** False before the first read has ended, and while reads fail. */
  private _available = false;
  private _isOutageLogged = false;
  private _readDueMs = Number.POSITIVE_INFINITY;
  private _wake: (() => void) | undefined;
  private _timing: ReadTiming = {
    waitMs: defaultWaitMs,
    intervalMs: 0,
    isSpread: false,
    retryMs: firstRetryMs,
  };
  private _needsFullRead = true;

  public constructor(
    private readonly _store: MetadataStore,
    private readonly _table: TableName,
    order: RecordOrder,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    this.state = new TableState(order);
    _store.era.onChanged(({ era, before }) => {
      const known = this.state.position;
      this._log.warn('The store was restored from a copy; reading the full table.', {
        table: _table,
        era,
        before,
        known,
      });
      this.requestFullRead();
    });
  }

  /** When the store was last out of reach. */
  public get outage(): OutageTimes {
    return this._outage.times;
  }

  /** True if the known state certainly lags the store by no more than a second, so that others may depend on it. */
  public isCurrent(nowMs: number): boolean {
    return this._available && nowMs < this._readDueMs + lateReadMs;
  }

  public start(): void {
    void this._run();
  }

  /** Sets the timing of reads. A pause in progress is adjusted to it. */
  public setTiming(timing: ReadTiming): void {
    const { waitMs, intervalMs, isSpread } = this._timing;
    if (timing.waitMs !== waitMs || timing.intervalMs !== intervalMs || timing.isSpread !== isSpread) {
      this._timing = timing;
      this._wake?.();
    }
  }

  /** Schedules a read of the full table. Peers forward only changes that are relevant to routing. */
  public requestFullRead(): void {
    this._needsFullRead = true;
    this._wake?.();
  }

  /** Applies records that a peer has sent. */
  public applyFromPeer(message: TableMessage, source: 'leader' | 'follower'): void {
    const { position } = this.state;
    const records = { ...message, era: message.era ?? position.era };
    const applied = message.whole
      ? this.state.applyTable(records)
      : this.state.applyPeerChanges(records, message.presentKeys);
    this._fireUpdate(applied ?? [], source, records.era, position, message.removalGraceMs);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    this._wake?.();
    return Promise.resolve();
  }

  private async _run(): Promise<void> {
    let retryMs = firstRetryMs;
    while (!this._stopped) {
      const outcome: ReadResult = this._needsFullRead ? await this._readTable() : await this._readChanges();
      if (outcome === 'failed' || outcome === 'stale') {
        await this._pause(retryMs);
        retryMs = Math.min(retryMs * 2, this._timing.retryMs);
        continue;
      }
      retryMs = firstRetryMs;
      await this._pauseBetweenReads();
    }
  }

  private async _readTable(): Promise<ReadResult> {
    this._needsFullRead = false;
    const outcome = await this._store.readTable(this._table);
    if (!outcome.ok) {
      this._needsFullRead = true;
      this._recordFailure(outcome.failure.message);
      if ((this._store.era.current ?? 0) > this.state.position.era) {
        this._onTableUnreadable.fire(this._table);
      }
      return 'failed';
    }
    this._recordSuccess();
    const { era, end } = outcome.value;
    const known = this.state.position;
    const applied = this.state.applyTable(outcome.value);
    if (applied === undefined) {
      this._log.warn('The table read is older than the known state; reading it again.', {
        table: this._table,
        era,
        end,
        known,
      });
      this._needsFullRead = true;
      return 'stale';
    }
    if (era > known.era && known.offset > 0) {
      const newer = applied.length;
      this._log.info('Entered the era of the store.', { table: this._table, era, end, known, newer });
    }
    this._fireUpdate(applied, 'store', era, known);
    this._onRead.fire({ table: this._table, isPrompt: false });
    return 'done';
  }

  private async _readChanges(): Promise<ReadResult> {
    const { waitMs } = this._timing;
    const startedMs = this._clock.now().steadyMs;
    this._readDueMs = startedMs + waitMs;
    const from = this.state.position;
    const outcome = await this._store.readChanges(this._table, from, waitMs);
    if (outcome.ok) {
      this._recordSuccess();
      const newer = this.state.applyChanges(outcome.value);
      this._logDiscarded(outcome.value, newer.length);
      this._fireUpdate(newer, 'store', from.era, from);
      this._onRead.fire({ table: this._table, isPrompt: this._clock.now().steadyMs - startedMs < waitMs + lateReadMs });
      return 'done';
    }
    if (outcome.failure.kind === 'restored') {
      this._recordSuccess();
      this._needsFullRead = true;
      return 'done';
    }
    if (outcome.failure.kind === 'historyDropped') {
      this._log.warn('The store has dropped the history of the table; reading the full table.', { table: this._table });
      this._needsFullRead = true;
      return 'done';
    }
    this._recordFailure(outcome.failure.message);
    return 'failed';
  }

  private _logDiscarded({ records, end, era }: TableRecords, newerCount: number): void {
    if (records.length > newerCount) {
      const discarded = records.length - newerCount;
      this._log.info('Discarded records that are not newer.', { table: this._table, discarded, era, end });
    }
  }

  /** `known` is the position before the update. */
  private _fireUpdate(
    records: readonly TableRecord[],
    source: TableUpdate['source'],
    era: number,
    known: TablePosition,
    removalGraceMs?: number,
  ): void {
    if (records.length > 0) {
      const isRestored = known.offset > 0 && era > known.era;
      const grace = removalGraceMs === undefined ? {} : { removalGraceMs };
      this._onUpdate.fire({ table: this._table, records, source, era, isRestored, ...grace });
    }
  }

  private _recordFailure(message: string): void {
    this._outage.recordFailure(this._clock.now().steadyMs);
    if (!this._isOutageLogged) {
      this._isOutageLogged = true;
      this._available = false;
      this._log.warn('The store is unreachable.', { table: this._table, reason: message, known: this.state.position });
    }
  }

  private _recordSuccess(): void {
    this._outage.recordSuccess(this._clock.now().steadyMs);
    this._available = true;
    if (this._isOutageLogged) {
      this._isOutageLogged = false;
      this._log.info('The store is reachable again.', { table: this._table, known: this.state.position });
    }
  }

  private async _pauseBetweenReads(): Promise<void> {
    const startedMs = this._clock.now().steadyMs;
    const spreadFactor = 2 * Math.random();
    for (;;) {
      const { intervalMs, isSpread } = this._timing;
      this._readDueMs = startedMs + (isSpread ? intervalMs * spreadFactor : intervalMs);
      const remainingMs = this._readDueMs - this._clock.now().steadyMs;
      if (this._needsFullRead || this._stopped || remainingMs <= 0) {
        return;
      }
      await this._pause(remainingMs);
    }
  }

  private async _pause(durationMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      this._wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
