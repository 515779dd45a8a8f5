import * as common from '@jayhaven/common';

/** Snapshots per retention time of the log, so that a complete one always exists. */
const snapshotsPerRetention = 3;
/**
 * Fraction of the snapshot interval by which each further rank waits longer before it checks whether a snapshot was
 * written. The daemon at rank 0 may be cut off from the log while its peers still reach it.
 */
const rankDelayFraction = 0.25;
/** Higher ranks wait no longer than this one, so that the wait never exceeds two thirds of the retention time. */
const maximumDelayedRank = 4;
const minimumCheckIntervalMs = 250;
const maximumCheckIntervalMs = 10_000;

/** Properties of a replica that the scheduler uses. */
export interface SnapshotSource {
  readonly isReadingFromLog: boolean;
  readonly isLogAvailable: boolean;
  readonly snapshotTakenAtMs: number;
  writeSnapshot(): Promise<boolean>;
  /** Grows whenever any daemon writes a snapshot; `undefined` if it is not known. */
  snapshotEndOffset(): Promise<number | undefined>;
}

/** Dependencies and settings of a scheduler. Times in milliseconds. */
export interface SnapshotSchedulerOptions {
  readonly source: SnapshotSource;
  readonly retentionMs: number;
  readonly now: () => number;
  readonly wallNow: () => number;
  /** Rank of this daemon among those that may write; the one at rank 0 writes. Negative if it may not write. */
  readonly rank: () => number;
  readonly logger: common.Logger;
}

/**
 * Writes a snapshot every third of the retention time and right after an outage if this daemon has rank 0; at another
 * rank it writes one only if the next snapshot is overdue.
 */
export class SnapshotScheduler extends common.Task<'check'> {
  /** Time of the last snapshot that this daemon has observed; initially its start time. */
  private _lastSnapshotMs: number;
  private _snapshotEndOffset: number | undefined;
  private _hasSeenSnapshot = false;
  private _dueAfterOutage = false;
  private _busy = false;

  public constructor(private readonly _options: SnapshotSchedulerOptions) {
    super();
    this._lastSnapshotMs = _options.now();
    const fractionMs = _options.retentionMs / (snapshotsPerRetention * 10);
    this.postEvery(Math.min(maximumCheckIntervalMs, Math.max(minimumCheckIntervalMs, fractionMs)), () => 'check');
  }

  protected override handle(): void {
    const { source, rank, retentionMs } = this._options;
    if (!source.isReadingFromLog || !source.isLogAvailable) {
      this._dueAfterOutage = true;
      return;
    }
    const ownRank = rank();
    if (this._busy || ownRank < 0) {
      return;
    }
    const intervalMs = retentionMs / snapshotsPerRetention;
    const dueMs = intervalMs * (1 + rankDelayFraction * Math.min(ownRank, maximumDelayedRank));
    if (this._snapshotEndOffset === undefined) {
      this._run(() => this._readEndOffset());
    } else if (ownRank === 0 && (this._dueAfterOutage || this._ageMs() >= dueMs)) {
      this._run(() => this._write());
    } else if (ownRank > 0) {
      // The daemon at rank 0 writes the snapshot after the same outage.
      this._dueAfterOutage = false;
      if (this._ageMs() >= dueMs) {
        this._run(() => this._writeUnlessWritten(this._snapshotEndOffset ?? 0));
      }
    }
  }

  private _ageMs(): number {
    const { source, now, wallNow } = this._options;
    const sinceMs = now() - this._lastSnapshotMs;
    // A snapshot that this daemon started from may be older than the process.
    const startedFromSnapshot = !this._hasSeenSnapshot && source.snapshotTakenAtMs > 0;
    return startedFromSnapshot ? Math.max(sinceMs, wallNow() - source.snapshotTakenAtMs) : sinceMs;
  }

  private _run(work: () => Promise<void>): void {
    this._busy = true;
    void work().then(() => {
      this._busy = false;
    });
  }

  private async _readEndOffset(): Promise<void> {
    this._snapshotEndOffset = (await this._options.source.snapshotEndOffset()) ?? this._snapshotEndOffset;
  }

  private async _writeUnlessWritten(previousEndOffset: number): Promise<void> {
    await this._readEndOffset();
    if ((this._snapshotEndOffset ?? 0) > previousEndOffset) {
      this._recordSnapshot();
    } else {
      await this._write();
    }
  }

  private async _write(): Promise<void> {
    const startedMs = this._options.now();
    if (await this._options.source.writeSnapshot()) {
      this._dueAfterOutage = false;
      this._options.logger.info('wrote a snapshot', { durationMs: Math.round(this._options.now() - startedMs) });
      await this._readEndOffset();
      this._recordSnapshot();
    }
  }

  private _recordSnapshot(): void {
    this._lastSnapshotMs = this._options.now();
    this._hasSeenSnapshot = true;
  }
}
