import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { MetadataStore, TableName, TableRecord } from '../contracts/MetadataStore.js';
import type { MessageIntervals } from '../peers/messageIntervals.js';
import type { TableMessage } from '../peers/Types.js';
import { TableState } from './TableState.js';

/** How a table is read, milliseconds. */
export interface ReadTiming {
  /** Longest wait of one read for a change. */
  readonly waitMs: number;
  /** Least time between two reads. */
  readonly intervalMs: number;
  /** Longest pause after a failed read. */
  readonly retryMs: number;
}

/** Pace while another daemon passes changes on, so that one reader serves all. */
const assistedTiming: ReadTiming = { waitMs: 2_000, intervalMs: 30_000, retryMs: 3_000 };
/** Longest wait while nobody passes changes on: a silent connection must show within 3 s, milliseconds. */
const unassistedWaitMs = 2_000;
/** Pace while others rely on this daemon: they must hear within a second that it does not reach the store. */
const timingForFollowers: ReadTiming = { waitMs: 600, intervalMs: 300, retryMs: 800 };

/** What other daemons do for this one, and it for them. */
export interface ReadSituation {
  /** `current`: a leader is heard and tells all changes. `cutOff`: it is heard, but does not reach the store. */
  readonly leader: 'current' | 'cutOff' | 'unheard';
  readonly hasFollowers: boolean;
  readonly intervals: MessageIntervals;
}

/**
 * How the tables are read in a situation. While a leader that is heard does not reach the store, all daemons read in turn
 * and pass the news on by way of the leader, so the calls of all together stay bounded.
 */
export function readTiming({ leader, hasFollowers, intervals }: ReadSituation): ReadTiming {
  if (leader === 'current') {
    return assistedTiming;
  }
  if (hasFollowers) {
    return timingForFollowers;
  }
  const intervalMs = leader === 'cutOff' ? intervals.sharedReadMs : intervals.leaderlessReadMs;
  return { waitMs: unassistedWaitMs, intervalMs, retryMs: Math.max(intervalMs, firstRetryMs) };
}

/** A read that is this late shows that the store may not be reached, milliseconds. The store answers in a few. */
const lateReadMs = 300;
/** First pause after a failed read, milliseconds; each further one is twice as long. */
const firstRetryMs = 150;

type ReadResult = 'done' | 'failed' | 'stale';

/** News of a table with where they came from. */
export interface TableUpdate {
  readonly table: TableName;
  readonly records: readonly TableRecord[];
  readonly source: 'store' | 'peer';
}

/** Keeps one table of the store up to date, from the store itself and from peers that read it. */
export class TableSynchronizer implements AsyncDisposable {
  public readonly state = new TableState();
  private readonly _onUpdate = new common.Emitter<TableUpdate>();
  public readonly onUpdate = this._onUpdate.event;
  private _stopped = false;
  private _lastFailureMs = Number.NEGATIVE_INFINITY;
  private _available = true;
  private _readDueMs = Number.POSITIVE_INFINITY;
  private _wake: (() => void) | undefined;
  private _timing: ReadTiming = { waitMs: unassistedWaitMs, intervalMs: 0, retryMs: firstRetryMs };
  private _needsFullRead = true;

  public constructor(
    private readonly _store: MetadataStore,
    private readonly _table: TableName,
    private readonly _clock: Clock,
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

  /** Sets how the table is read from now on; a pause that the new pace shortens ends. */
  public setTiming(timing: ReadTiming): void {
    if (timing.waitMs !== this._timing.waitMs || timing.intervalMs !== this._timing.intervalMs) {
      this._timing = timing;
      this._wake?.();
    }
  }

  /** Reads the whole table soon. Peers pass only those changes on that matter to routing. */
  public requestFullRead(): void {
    this._needsFullRead = true;
    this._wake?.();
  }

  /** Takes over records that a peer has read. */
  public applyFromPeer(message: TableMessage): void {
    const applied = message.whole ? this.state.applyTable(message) : this.state.applyChanges(message);
    this._fireUpdate(applied ?? [], 'peer');
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
      return 'failed';
    }
    this._recordSuccess();
    const applied = this.state.applyTable(outcome.value);
    if (applied === undefined) {
      this._log.warn('Table is older than what is known; reading it again.', {
        table: this._table,
        end: outcome.value.end,
        knownEnd: this.state.end,
      });
      this._needsFullRead = true;
      return 'stale';
    }
    this._fireUpdate(applied, 'store');
    return 'done';
  }

  private async _readChanges(): Promise<ReadResult> {
    const { waitMs } = this._timing;
    this._readDueMs = this._clock.now().steadyMs + waitMs;
    const outcome = await this._store.readChanges(this._table, this.state.end, waitMs);
    if (outcome.ok) {
      this._recordSuccess();
      this._fireUpdate(this.state.applyChanges(outcome.value), 'store');
      return 'done';
    }
    if (outcome.failure.kind === 'historyDropped') {
      this._log.warn('History of the table was dropped; reading it whole.', { table: this._table });
      this._needsFullRead = true;
      return 'done';
    }
    this._recordFailure(outcome.failure.message);
    return 'failed';
  }

  private _fireUpdate(records: readonly TableRecord[], source: 'store' | 'peer'): void {
    if (records.length > 0) {
      this._onUpdate.fire({ table: this._table, records, source });
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

  private async _pauseBetweenReads(): Promise<void> {
    const startedMs = this._clock.now().steadyMs;
    for (;;) {
      this._readDueMs = startedMs + this._timing.intervalMs;
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
