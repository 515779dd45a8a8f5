import * as common from '@jayhaven/common';

/** Snapshots within the retention time of the log, so that one is always complete. */
const snapshotsPerRetention = 3;
/**
 * Share of the usual age by which each next daemon in the ranking waits longer before it looks whether a snapshot was
 * written. The first one may be cut off from the log while its peers still reach it.
 */
const rankDelayFraction = 0.25;
/** Ranks beyond this wait no longer, so that two thirds of the retention time are never exceeded. */
const maximumDelayedRank = 4;
const minimumCheckIntervalMs = 250;
const maximumCheckIntervalMs = 10_000;

/** The part of a replica that snapshots are made of. */
export interface SnapshotSource {
  readonly isReadingFromLog: boolean;
  readonly isLogAvailable: boolean;
  readonly snapshotTakenAtMs: number;
  writeSnapshot(): Promise<boolean>;
  /** Moves whenever any daemon writes a snapshot; `undefined` if it is not known. */
  snapshotEndOffset(): Promise<number | undefined>;
}

/** What a keeper works with. Times in milliseconds. */
export interface SnapshotSchedulerOptions {
  readonly source: SnapshotSource;
  readonly retentionMs: number;
  readonly now: () => number;
  readonly wallNow: () => number;
  /** Place of this daemon among those that may write; the one at 0 writes. Negative if it may not. */
  readonly rank: () => number;
  readonly logger: common.Logger;
}

/** Writes a snapshot every third of the retention time and right after an outage, if this daemon is chosen. */
export class SnapshotScheduler extends common.Task<'check'> {
  /** Time of the last snapshot that this daemon knows of; at first that of its start. */
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
      // The first in the ranking has seen the same outage.
      this._dueAfterOutage = false;
      if (this._ageMs() >= dueMs) {
        this._run(() => this._writeUnlessWritten(this._snapshotEndOffset ?? 0));
      }
    }
  }

  private _ageMs(): number {
    const { source, now, wallNow } = this._options;
    const sinceMs = now() - this._lastSnapshotMs;
    // A snapshot that this daemon started from may be older than the daemon.
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
