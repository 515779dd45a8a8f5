import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, TableName, TableRecord, TableRecords } from '../contracts/MetadataStore.js';
import { TableState } from './TableState.js';

/** How a table is read: longest wait of one read for a change, and least time between two reads, milliseconds. */
export interface ReadPace {
  readonly waitMs: number;
  readonly intervalMs: number;
}

/** Paces by what other daemons do. A series of changes costs one read an interval. */
export const readPaces = {
  /** Another daemon passes changes on, so that one reader serves all. */
  assisted: { waitMs: 20_000, intervalMs: 12_000 },
  /** Nobody passes changes on: a silent connection must show within 3 s. */
  alone: { waitMs: 2_000, intervalMs: 400 },
  /** Other daemons rely on this one: they must hear within a second that it does not reach the store. */
  forOthers: { waitMs: 600, intervalMs: 300 },
} as const satisfies Readonly<Record<string, ReadPace>>;

/** A read that is this late shows that the store may not be reached, milliseconds. The store answers in a few. */
const lateReadMs = 300;
/** Interval at which a pause between reads looks whether the pace has changed, milliseconds. */
const pauseStepMs = 100;
/** First and longest pause after a failed read, milliseconds. */
const firstRetryMs = 150;
const longestRetryMs = 800;

type ReadResult = 'done' | 'failed' | 'stale' | 'historyDropped';

/** News of a table with where they came from. */
export interface TableNews {
  readonly table: TableName;
  readonly records: readonly TableRecord[];
  readonly source: 'store' | 'peer';
}

/** Keeps one table of the store up to date, from the store itself and from peers that read it. */
export class TableFollower implements AsyncDisposable {
  public readonly state = new TableState();
  private readonly _onNews = new common.Emitter<TableNews>();
  public readonly onNews = this._onNews.event;
  private _stopped = false;
  private _lastFailureMs = Number.NEGATIVE_INFINITY;
  private _available = true;
  private _readDueMs = Number.POSITIVE_INFINITY;
  private _wake: (() => void) | undefined;

  public constructor(
    private readonly _store: MetadataStore,
    private readonly _table: TableName,
    private readonly _clock: Clock,
    private readonly _pace: () => ReadPace,
    private readonly _log: common.Logger,
  ) {}

  /** When a read failed last, steady milliseconds; minus infinity if none has. */
  public get lastFailureMs(): number {
    return this._lastFailureMs;
  }

  /** True if changes of the last second are known for certain, so that others may rely on this daemon. */
  public isCurrent(nowMs: number): boolean {
    return this._available && nowMs < this._readDueMs + lateReadMs;
  }

  public start(): void {
    void this._run();
  }

  /** Takes over records that a peer has read. */
  public acceptFromPeer(table: TableRecords, whole: boolean): void {
    const news = whole ? this.state.applyTable(table) : this._changesFromPeer(table);
    this._tell(news ?? [], 'peer');
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    this._wake?.();
    return Promise.resolve();
  }

  /** Changes of a peer may leave a gap to what is known here, so they never move the read position. */
  private _changesFromPeer(table: TableRecords): readonly TableRecord[] {
    return this.state.applyChanges({ records: table.records, end: this.state.end });
  }

  private async _run(): Promise<void> {
    let retryMs = firstRetryMs;
    let tableNeeded = true;
    while (!this._stopped) {
      const outcome: ReadResult = tableNeeded ? await this._readTable() : await this._readChanges();
      if (outcome === 'failed' || outcome === 'stale') {
        await this._pause(retryMs);
        retryMs = Math.min(retryMs * 2, longestRetryMs);
        continue;
      }
      tableNeeded = outcome === 'historyDropped';
      retryMs = firstRetryMs;
      await this._pauseBetweenReads(tableNeeded);
    }
  }

  private async _readTable(): Promise<ReadResult> {
    const outcome = await this._store.readTable(this._table);
    if (!outcome.ok) {
      this._recordFailure(outcome.failure.message);
      return 'failed';
    }
    this._recordSuccess();
    const news = this.state.applyTable(outcome.value);
    if (news === undefined) {
      this._log.warn('Table is older than what is known; reading it again.', {
        table: this._table,
        end: outcome.value.end,
        knownEnd: this.state.end,
      });
      return 'stale';
    }
    this._tell(news, 'store');
    return 'done';
  }

  private async _readChanges(): Promise<ReadResult> {
    const { waitMs } = this._pace();
    this._readDueMs = this._clock.now().steadyMs + waitMs;
    const outcome = await this._store.readChanges(this._table, this.state.end, waitMs);
    if (outcome.ok) {
      this._recordSuccess();
      this._tell(this.state.applyChanges(outcome.value), 'store');
      return 'done';
    }
    if (outcome.failure.kind === 'historyDropped') {
      this._log.warn('History of the table was dropped; reading it whole.', { table: this._table });
      return 'historyDropped';
    }
    this._recordFailure(outcome.failure.message);
    return 'failed';
  }

  private _tell(records: readonly TableRecord[], source: 'store' | 'peer'): void {
    if (records.length > 0) {
      this._onNews.fire({ table: this._table, records, source });
    }
  }

  private _recordFailure(message: string): void {
    this._lastFailureMs = this._clock.now().steadyMs;
    if (this._available) {
      this._available = false;
      this._log.warn('Lost the store.', { table: this._table, reason: message, knownEnd: this.state.end });
    }
  }

  private _recordSuccess(): void {
    if (!this._available) {
      this._available = true;
      this._log.info('Reached the store again.', { table: this._table, knownEnd: this.state.end });
    }
  }

  private async _pauseBetweenReads(tableNeeded: boolean): Promise<void> {
    const startedMs = this._clock.now().steadyMs;
    this._readDueMs = startedMs + this._pace().intervalMs;
    while (!tableNeeded && !this._stopped && this._clock.now().steadyMs - startedMs < this._pace().intervalMs) {
      await this._pause(pauseStepMs);
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
