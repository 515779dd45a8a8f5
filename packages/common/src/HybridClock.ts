import type { HybridTime } from './Types.js';

/** Hybrid logical clock (Kulkarni et al. 2014): orders events over processes, close to wall time. */
export class HybridClock {
  private _last: HybridTime = { wallMs: 0, counter: 0 };

  /** Stamps a local event. */
  public stamp(nowMs: number): HybridTime {
    this._last =
      nowMs > this._last.wallMs
        ? { wallMs: nowMs, counter: 0 }
        : { wallMs: this._last.wallMs, counter: this._last.counter + 1 };
    return this._last;
  }

  /** Takes over the time of a received message, so that later local events sort behind it. */
  public receive(remote: HybridTime): void {
    if (compareHybridTime(remote, this._last) > 0) {
      this._last = remote;
    }
  }
}

/** Sorts two stamps; negative if the first is earlier. */
export function compareHybridTime(first: HybridTime, second: HybridTime): number {
  return first.wallMs - second.wallMs || first.counter - second.counter;
}
