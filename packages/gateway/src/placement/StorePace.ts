import type { PlannedOrder } from './Types.js';
import { isStoreLoad } from './weights.js';

/** Loads from the weight store that run at once before anything is known of its speed. */
const initialLoads = 4;
/** A load that takes this many times its stated time shows that too many ran at once. */
const slowFactor = 1.3;

/** Adapts the number of loads that run at once to the speed of the weight store. */
export class StorePace {
  private _maximumLoads = initialLoads;

  /** Loads from the store that may run at once. */
  public get maximumLoads(): number {
    return this._maximumLoads;
  }

  /** Factor by which an order takes longer than stated, if so many loads from the store run with it, itself included. */
  public slowdown(order: Pick<PlannedOrder, 'kind' | 'tier' | 'adapter'>, loadsAtOnce: number): number {
    return isStoreLoad(order) ? Math.max(loadsAtOnce / this._maximumLoads, 1) : 1;
  }

  /**
   * Learns from a load that has taken `takenMs` so far or in all. `loadsAtOnce` counts those that ran at its start, itself
   * included: later ones do not slow it.
   */
  public recordLoad(statedMs: number, takenMs: number, loadsAtOnce: number): void {
    if (takenMs > statedMs * slowFactor) {
      const sustained = Math.floor((loadsAtOnce * statedMs) / takenMs);
      this._maximumLoads = Math.max(1, Math.min(this._maximumLoads, sustained));
    }
  }
}
