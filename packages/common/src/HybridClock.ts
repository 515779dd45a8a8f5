import type { HybridTime } from './Types.js';

/** Hybrid logical clock (Kulkarni et al. 2014): orders the events of all processes and stays close to wall time. */
export class HybridClock {
  private _last: HybridTime = { wallMs: 0, counter: 0 };

  /** Returns the timestamp of a local event. */
  public stamp(nowMs: number): HybridTime {
    this._last =
      nowMs > this._last.wallMs
        ? { wallMs: nowMs, counter: 0 }
        : { wallMs: this._last.wallMs, counter: this._last.counter + 1 };
    return this._last;
  }

  /** Advances the clock to the timestamp of a received message, so that later local events are ordered after it. */
  public receive(remote: HybridTime): void {
    if (compareHybridTime(remote, this._last) > 0) {
      this._last = remote;
    }
  }
}

/** Compares two timestamps; negative if the first is earlier. */
export function compareHybridTime(first: HybridTime, second: HybridTime): number {
  return first.wallMs - second.wallMs || first.counter - second.counter;
}
