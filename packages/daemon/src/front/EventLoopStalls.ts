import * as perfHooks from 'node:perf_hooks';

/** Sampling interval of the event loop delay, milliseconds. */
const resolutionMs = 10;
/** Length of a measuring window, milliseconds. A stall counts for at least one window and at most two. */
const windowMs = 5_000;
const nanosecondsPerMillisecond = 1e6;

/** Measures the longest recent stall of this process's event loop. Timers may fire late by as much. */
export class EventLoopStalls {
  private readonly _histogram = perfHooks.monitorEventLoopDelay({ resolution: resolutionMs });
  private _windowStartMs = 0;
  private _previousMaximumMs = 0;

  public constructor() {
    this._histogram.enable();
  }

  /** Longest stall in the current and the previous window, milliseconds. */
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

/** Event loop stalls of this process. */
export const processStalls = new EventLoopStalls();
