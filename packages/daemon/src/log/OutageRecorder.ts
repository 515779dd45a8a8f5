import * as common from '@jayhaven/common';
import type { DaemonContext } from '../Types.js';

const checkIntervalMs = 250;

/** The part of a replica whose availability is recorded. */
export interface OutageSource {
  readonly isLogAvailable: boolean;
  readonly isReadingFromLog: boolean;
  readonly nextOffset: number;
}

/** Writes the start and end of outages of the log to the time line and the daemon's own log. */
export class OutageRecorder extends common.Task<'check'> {
  private readonly _logger: common.Logger;
  private _downSinceMs: number | undefined;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _source: OutageSource,
  ) {
    super();
    this._logger = _context.logger.child('log');
    this.postEvery(checkIntervalMs, () => 'check');
  }

  protected override handle(): void {
    const nowMs = this._context.now();
    const isUp = this._source.isLogAvailable && this._source.isReadingFromLog;
    const offset = this._source.nextOffset - 1;
    if (!isUp && this._downSinceMs === undefined) {
      this._downSinceMs = nowMs;
      this._logger.warn('the log is down or slow', { offset });
      this._context.timeline.record({ part: 'log', event: 'logDown', offset });
    } else if (isUp && this._downSinceMs !== undefined) {
      const durationMs = Math.round(nowMs - this._downSinceMs);
      this._downSinceMs = undefined;
      this._logger.info('the log is used again', { offset, durationMs });
      this._context.timeline.record({ part: 'log', event: 'logUp', offset, detail: { durationMs } });
    }
  }
}
