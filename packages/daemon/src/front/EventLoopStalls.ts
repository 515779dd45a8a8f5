import * as perfHooks from 'node:perf_hooks';

/** Interval at which the delay of the event loop is sampled, milliseconds. */
const resolutionMs = 10;
/** A stall counts for at least this long and at most twice as long, milliseconds. */
const windowMs = 5_000;
const nanosecondsPerMillisecond = 1e6;

/** Longest recent stalls of this process's event loop. Timers fire late by as much. */
export class EventLoopStalls {
  private readonly _histogram = perfHooks.monitorEventLoopDelay({ resolution: resolutionMs });
  private _windowStartMs = 0;
  private _previousMaximumMs = 0;

  public constructor() {
    this._histogram.enable();
  }

  /** Longest stall of the last windows, milliseconds. */
  public recentMaximumMs(nowMs: number): number {
    const currentMs = Math.max(this._histogram.max / nanosecondsPerMillisecond - resolutionMs, 0);
    if (nowMs - this._windowStartMs >= windowMs) {
      this._windowStartMs = nowMs;
      this._previousMaximumMs = currentMs;
      this._histogram.reset();
    }
    return Math.max(currentMs, this._previousMaximumMs);
  }
}

/** Stalls of this process. */
export const processStalls = new EventLoopStalls();
