import * as common from '@jayhaven/common';

/** Snapshots within the retention time of the log, so that one is always complete. */
const snapshotsPerRetention = 3;
const shortestCheckMs = 250;
const longestCheckMs = 10_000;

/** The part of a replica that snapshots are made of. */
export interface SnapshotSource {
  readonly isReadingFromLog: boolean;
  readonly isLogAvailable: boolean;
  readonly snapshotTakenAtMs: number;
  writeSnapshot(): Promise<boolean>;
}

/** What a keeper works with. Times in milliseconds. */
export interface SnapshotKeeperOptions {
  readonly source: SnapshotSource;
  readonly retentionMs: number;
  readonly now: () => number;
  readonly wallNow: () => number;
  /** Whether this daemon is the one that writes at present. */
  readonly isWriter: () => boolean;
  readonly logger: common.Logger;
}

/** Writes a snapshot every third of the retention time and right after an outage, if this daemon is chosen. */
export class SnapshotKeeper extends common.Task<'check'> {
  private readonly _startedMs: number;
  private _dueAfterOutage = false;
  private _writing = false;

  public constructor(private readonly _options: SnapshotKeeperOptions) {
    super();
    this._startedMs = _options.now();
    const fractionMs = _options.retentionMs / (snapshotsPerRetention * 10);
    this.postEvery(Math.min(longestCheckMs, Math.max(shortestCheckMs, fractionMs)), () => 'check');
  }

  protected override handle(): void {
    const { source, isWriter } = this._options;
    if (!source.isReadingFromLog || !source.isLogAvailable) {
      this._dueAfterOutage = true;
      return;
    }
    if (!isWriter()) {
      // The chosen daemon has seen the same outage.
      this._dueAfterOutage = false;
      return;
    }
    if (
      !this._writing &&
      (this._dueAfterOutage || this._ageMs() >= this._options.retentionMs / snapshotsPerRetention)
    ) {
      void this._write();
    }
  }

  private _ageMs(): number {
    const { source, now, wallNow } = this._options;
    return source.snapshotTakenAtMs > 0 ? wallNow() - source.snapshotTakenAtMs : now() - this._startedMs;
  }

  private async _write(): Promise<void> {
    this._writing = true;
    const startedMs = this._options.now();
    const written = await this._options.source.writeSnapshot();
    this._writing = false;
    if (written) {
      this._dueAfterOutage = false;
      this._options.logger.info('wrote a snapshot', { durationMs: Math.round(this._options.now() - startedMs) });
    }
  }
}
