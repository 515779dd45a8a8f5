import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, StoreFailure, TablePosition, TableRecords } from '../contracts/MetadataStore.js';
import type { Replica } from '../Types.js';
import { decideOrigin } from './decideOrigin.js';
import { groupOrigins, OriginTable } from './OriginTable.js';
import { readStreamRecords } from './readStreamRecords.js';
import {
  batchKey,
  batchSlots,
  countForBatch,
  encodeBatch,
  encodeHistory,
  historyKey,
  unprovenEra,
} from './StreamRecords.js';
import type { HistoryVersions, OriginAnswer, OriginQuery, StreamOrigin, VersionsMessage } from './Types.js';
import { VersionHistory } from './VersionHistory.js';

/** Least time between two batches of origins, milliseconds. The first events of their streams wait for a batch. */
const batchIntervalMs = 30;
/** Position of origins that were added before the records are read: whether they are recorded is decided then. */
const unknownPosition = Number.POSITIVE_INFINITY;
/** Pause after a failed call to the store, milliseconds. */
const retryMs = 300;
/** Time after which the daemons have sent a new leader the origins that they know, milliseconds. */
const settleMs = 1_000;

/** What the registry needs to know of its daemon. */
export interface StreamRegistryContext {
  /** The present replicas, draining ones included. */
  replicas(): readonly Replica[];
  /** Longest time from the first event of a stream until its caller takes it up for the last time, milliseconds. */
  lifetimeMs(): number;
  /** True if the system has just been set up, so that there were no streams before. */
  readonly isFirstStart: boolean;
}

/**
 * The leader's knowledge of where streams began. The versions of each service are stored before a stream begins at a new
 * one; while a service has several, its daemons report their streams, and the reports are stored in batches.
 */
export class StreamRegistry {
  private readonly _onVersions = new common.Emitter<VersionsMessage>();
  /** Fires when the stored versions, or the services whose origins are recorded, have changed. */
  public readonly onVersions = this._onVersions.event;
  private readonly _onSaved = new common.Emitter<number>();
  /** Fires with the position up to which origins are stored. */
  public readonly onSaved = this._onSaved.event;
  private _history = new VersionHistory();
  private readonly _origins = new OriginTable();
  private _unsaved: readonly StreamOrigin[] = [];
  /** Number of origins that were to be stored so far. */
  private _savePosition = 0;
  /** The last history that was written or read. */
  private _stored: Required<HistoryVersions> | undefined;
  /** Era in the last history that was written or read. */
  private _storedEra = unprovenEra;
  private _isHistoryUnsaved = false;
  /** Services whose origins are stored. */
  private _recorded: ReadonlySet<string> = new Set();
  /** Number of the present leadership; calls to the store of an earlier one have no effect. */
  private _term = 0;
  private _startedMs: number | undefined;
  /** Steady time from which no version can be missing in the history. */
  private _completeFromMs = Number.POSITIVE_INFINITY;
  /** End of the records; undefined until they are read, and after a conflict or a restore. */
  private _end: TablePosition | undefined;
  private _nextSlot = 0;
  /** When the batches were written or read, by slot, steady milliseconds. */
  private readonly _slotTimesMs = new Map<number, number>();
  private _isCalling = false;
  private _nextCallMs = 0;
  private _announced = '';

  public constructor(
    private readonly _store: Pick<MetadataStore, 'readStreamRecords' | 'writeStreamRecord' | 'era'>,
    private readonly _context: StreamRegistryContext,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    _store.era.onChanged(() => {
      this._saveAgain();
    });
  }

  public get isLeading(): boolean {
    return this._startedMs !== undefined;
  }

  /** Begins to lead, with the origins that this daemon knows. */
  public start(origins: readonly StreamOrigin[], nowMs: number): void {
    this._term += 1;
    this._startedMs = nowMs;
    this._history = new VersionHistory();
    this._slotTimesMs.clear();
    this._stored = undefined;
    this._end = undefined;
    this._completeFromMs = Number.POSITIVE_INFINITY;
    this._nextCallMs = nowMs;
    this._announced = '';
    this._isHistoryUnsaved = false;
    this._recorded = new Set();
    this.add(origins, nowMs);
  }

  public stop(): void {
    this._term += 1;
    this._startedMs = undefined;
    this._unsaved = [];
  }

  /**
   * Adds origins that a daemon reports. Streams may have begun at a version that no leader has announced. Returns the
   * position up to which origins must be stored so that these are; undefined if they need no record, and `unknownPosition`
   * until the records are read.
   */
  public add(origins: readonly StreamOrigin[], nowMs: number): number | undefined {
    if (this._origins.isFull) {
      this._forgetBases();
    }
    const recorded = origins.filter(({ service }) => this._recorded.has(service));
    const added = new Set(origins.filter((origin) => this._origins.add(origin, nowMs)));
    for (const { service, version } of added) {
      if (!this._history.versionsOf(service).includes(version)) {
        this._history.addUnannounced(service, version, nowMs);
        this._isHistoryUnsaved = true;
      }
    }
    this._save(recorded.filter((origin) => added.has(origin)));
    this._callIfDue(nowMs);
    if (this._stored === undefined) {
      return unknownPosition;
    }
    return recorded.length > 0 ? this._savePosition : undefined;
  }

  /** Called several times a second while this daemon leads. */
  public tick(nowMs: number): void {
    const lifetimeMs = this._context.lifetimeMs();
    this._origins.expire(nowMs - lifetimeMs);
    if (this._stored !== undefined) {
      const hasChanged = this._history.observe(this._context.replicas(), nowMs, lifetimeMs, this._isComplete(nowMs));
      this._isHistoryUnsaved ||= hasChanged;
      this._isHistoryUnsaved ||= this._end !== undefined && this._storedEra !== this._provenEra(this._end, nowMs);
      this._announce(nowMs);
    }
    this._callIfDue(nowMs);
  }

  /** Where a stream began; undefined while this is not decided. */
  public answer({ service, attemptId }: OriginQuery, nowMs: number): OriginAnswer | undefined {
    const isSettled = this._stored !== undefined && nowMs - (this._startedMs ?? nowMs) >= settleMs;
    return decideOrigin({
      isNamed: attemptId !== undefined,
      recorded: attemptId === undefined ? undefined : this._origins.versionOf(attemptId),
      versions: this._history.versionsOf(service),
      base: this._history.baseOf(service),
      isHistoryComplete: isSettled && this._isComplete(nowMs),
      areRecordsComplete: isSettled,
    });
  }

  /** The versions at which streams may begin; undefined until the records are read. */
  public announcement(nowMs: number): VersionsMessage | undefined {
    if (this._stored === undefined) {
      return undefined;
    }
    const isComplete = this._isComplete(nowMs);
    const recorded = Object.keys(this._stored.versions).filter((service) => !isComplete || this._isMixed(service));
    return { ...this._stored, recorded, term: this._term };
  }

  /** Position up to which origins must be stored so that all that were added are. */
  public get position(): number {
    return this._savePosition;
  }

  /** Position up to which origins are stored. */
  public get savedPosition(): number {
    return this._savePosition - this._unsaved.length;
  }

  /** True if no version can be missing in the history. */
  private _isComplete(nowMs: number): boolean {
    return nowMs >= this._completeFromMs;
  }

  /** Gives up the bases, as records are lost, and stores that before they are. */
  private _forgetBases(): void {
    this._isHistoryUnsaved = this._history.forgetBases() || this._isHistoryUnsaved;
  }

  private _isMixed(service: string): boolean {
    return this._history.versionsOf(service).length > 1;
  }

  private _announce(nowMs: number): void {
    const message = this.announcement(nowMs);
    this._record(message?.recorded ?? []);
    const text = JSON.stringify(message);
    if (message !== undefined && text !== this._announced) {
      this._announced = text;
      this._onVersions.fire(message);
    }
  }

  /** Records the streams of services from now on; those of a further service from the first one that is known. */
  private _record(services: readonly string[]): void {
    const added = new Set(services.filter((service) => !this._recorded.has(service)));
    this._recorded = new Set(services);
    if (added.size > 0) {
      this._save(this._origins.all().filter(({ service }) => added.has(service)));
    }
  }

  private _save(origins: readonly StreamOrigin[]): void {
    this._unsaved = [...this._unsaved, ...origins];
    this._savePosition += origins.length;
  }

  private _callIfDue(nowMs: number): void {
    if (this.isLeading && !this._isCalling && nowMs >= this._nextCallMs) {
      this._callStore(nowMs);
    }
  }

  private _callStore(nowMs: number): void {
    if (this._unsaved.length > 0 && this._replacesBatch(nowMs)) {
      this._forgetBases();
    }
    if (this._end === undefined) {
      void this._call((term) => this._read(term));
    } else if (this._isHistoryUnsaved) {
      void this._call((term) => this._writeHistory(term));
    } else if (this._unsaved.length > 0) {
      this._nextCallMs = nowMs + batchIntervalMs;
      void this._call((term) => this._writeBatch(term));
    }
  }

  /** True if the next batch replaces one whose streams may still be taken up. */
  private _replacesBatch(nowMs: number): boolean {
    const writtenMs = this._slotTimesMs.get(this._nextSlot % batchSlots);
    return writtenMs !== undefined && nowMs - writtenMs < this._context.lifetimeMs();
  }

  private async _call(call: (term: number) => Promise<boolean>): Promise<void> {
    this._isCalling = true;
    const hasSucceeded = await call(this._term);
    this._isCalling = false;
    const nowMs = this._clock.now().steadyMs;
    if (!hasSucceeded) {
      this._nextCallMs = nowMs + retryMs;
    } else if (this.isLeading && this._unsaved.length > 0) {
      setTimeout(
        () => {
          this._callIfDue(this._clock.now().steadyMs);
        },
        Math.max(this._nextCallMs - nowMs, 0),
      ).unref();
    }
  }

  private async _read(term: number): Promise<boolean> {
    const outcome = await this._store.readStreamRecords();
    if (term !== this._term || !outcome.ok) {
      return this._hasSucceeded(outcome, 'Could not read the origins of streams.');
    }
    this._applyRecords(outcome.value, this._clock.now().steadyMs);
    return true;
  }

  private _applyRecords(table: TableRecords, nowMs: number): void {
    const records = readStreamRecords(table.records, this._log);
    const isFirstRead = this._stored === undefined;
    this._end = { era: table.era, offset: table.end };
    this._nextSlot = records.nextSlot;
    for (const slot of records.slots) {
      this._slotTimesMs.set(slot, this._slotTimesMs.get(slot) ?? nowMs);
    }
    for (const origin of records.origins) {
      this._origins.add(origin, nowMs);
    }
    const isProven = records.history === undefined ? this._context.isFirstStart : records.history.era === table.era;
    const history = {
      versions: records.history?.versions ?? {},
      bases: isProven ? (records.history?.bases ?? {}) : {},
    };
    if (isFirstRead) {
      this._history.restore(history, nowMs);
      this._completeFromMs = isProven ? nowMs : nowMs + this._context.lifetimeMs();
      this._log.info('Read the origins of streams.', {
        versions: records.history?.versions,
        origins: records.origins.length,
        isProven,
        bases: history.bases,
        era: table.era,
      });
    } else {
      this._history.merge(history, nowMs);
    }
    this._stored = records.history === undefined ? (this._stored ?? history) : history;
    this._storedEra = records.history?.era ?? unprovenEra;
    this._isHistoryUnsaved =
      records.history?.era !== this._provenEra(this._end, nowMs) ||
      JSON.stringify(history) !== JSON.stringify(this._history.snapshot());
  }

  /** Era that a history written now may state: that of the store only if no version can be missing in it. */
  private _provenEra({ era }: TablePosition, nowMs: number): number {
    return nowMs >= this._completeFromMs ? era : unprovenEra;
  }

  private async _writeHistory(term: number): Promise<boolean> {
    const end = this._end;
    const snapshot = this._history.snapshot();
    if (end === undefined) {
      return false;
    }
    const era = this._provenEra(end, this._clock.now().steadyMs);
    const outcome = await this._store.writeStreamRecord(end, historyKey, encodeHistory({ era, ...snapshot }));
    if (term !== this._term) {
      return true;
    }
    if (outcome.ok && this._end === end) {
      this._end = { ...end, offset: outcome.value + 1 };
      this._stored = snapshot;
      this._storedEra = era;
      // A version that came during the write is stored with the next one.
      this._isHistoryUnsaved = JSON.stringify(snapshot) !== JSON.stringify(this._history.snapshot());
      this._log.info('Stored the versions of replicas.', { ...snapshot });
      this._announce(this._clock.now().steadyMs);
    }
    return this._hasSucceeded(outcome, 'Could not store the versions of replicas.');
  }

  private async _writeBatch(term: number): Promise<boolean> {
    const end = this._end;
    if (end === undefined) {
      return false;
    }
    const batch = this._unsaved.slice(0, countForBatch(this._unsaved));
    const value = encodeBatch(groupOrigins(batch));
    const outcome = await this._store.writeStreamRecord(end, batchKey(this._nextSlot), value);
    if (term !== this._term) {
      return true;
    }
    if (outcome.ok && this._end === end) {
      this._end = { ...end, offset: outcome.value + 1 };
      this._slotTimesMs.set(this._nextSlot % batchSlots, this._clock.now().steadyMs);
      this._nextSlot += 1;
      this._unsaved = this._unsaved.slice(batch.length);
      this._onSaved.fire(this.savedPosition);
    }
    return this._hasSucceeded(outcome, 'Could not store origins of streams.');
  }

  /** Logs a failed call. The records are read again, because a call without an answer may have taken effect. */
  private _hasSucceeded(outcome: common.Outcome<unknown, StoreFailure>, message: string): boolean {
    if (!outcome.ok) {
      this._end = undefined;
      this._log.warn(message, { reason: outcome.failure.message });
    }
    return outcome.ok;
  }

  /** Stores everything again after a restore of the store, which may have lost the latest records, those of lost daemons too. */
  private _saveAgain(): void {
    this._forgetBases();
    this._slotTimesMs.clear();
    this._end = undefined;
    this._unsaved = this._origins.all().filter(({ service }) => this._recorded.has(service));
  }
}
