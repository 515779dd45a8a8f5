import type * as common from '@jayhaven/common';
import type { Clock } from './Clock.js';
import type { CallerServer } from './forwarding/CallerServer.js';
import type { OpenRequests } from './forwarding/OpenRequests.js';
import { pause } from './pause.js';
import type { StopSchedule } from './StopSchedule.js';

/** Interval at which a stopping daemon checks whether its requests have ended, milliseconds. */
const checkMs = 50;

/** Takes a daemon out of service: waits for its callers, and ends the requests that would outlast the process. */
export class GracefulStop {
  public constructor(
    private readonly _schedule: StopSchedule,
    private readonly _requests: OpenRequests,
    private readonly _callers: Pick<CallerServer, 'activeCount' | 'stopAccepting'>,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {}

  /** Begins the time that the stop may take. Called at the signal, which may come before the daemon is open. */
  public announce(): void {
    this._schedule.start(this._nowMs());
  }

  /** Waits until the load balancer has removed the daemon and its requests have ended. Returns how many were cut off. */
  public async run(): Promise<{ readonly unfinished: number }> {
    this.announce();
    this._log.info('Stopping.', { requests: this._callers.activeCount });
    await this._waitForRequests();
    this._schedule.end();
    this._endOverlongRequests();
    this._callers.stopAccepting();
    await this._waitForRequests();
    return { unfinished: this._requests.abortedCount + this._callers.activeCount };
  }

  private async _waitForRequests(): Promise<void> {
    while (this._schedule.shouldWait(this._callers.activeCount, this._nowMs())) {
      await pause(checkMs);
      this._endOverlongRequests();
    }
  }

  private _endOverlongRequests(): void {
    const nowMs = this._nowMs();
    const ended = this._requests.endOverlong(this._schedule.longestRequestMs(nowMs), nowMs);
    if (Object.keys(ended).length > 0) {
      this._log.info('Ended requests that would outlast the stop.', ended);
    }
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}
