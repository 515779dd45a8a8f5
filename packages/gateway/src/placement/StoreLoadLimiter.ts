import type { PlannedOrder } from './Types.js';
import { isStoreLoad } from './weights.js';

/** Loads from the weight store that run at once at most. */
const storeLoadLimit = 4;
/**
 * Loads that are started at once before anything is known end within this time even if the store runs them one by one,
 * milliseconds.
 */
const initialLoadBudgetMs = 24_000;
/** A load that takes this many times its stated time shows that too many ran at once. */
const slowLoadFactor = 1.3;

/**
 * Adapts the number of loads that run at once to the speed of the weight store. Answers demand that moves during long
 * loads: loads that were started too many at once keep the store from the models that are asked for later.
 */
export class StoreLoadLimiter {
  /** Loads at once that the store sustains, as far as slow loads have shown. */
  private _sustainedLoads = storeLoadLimit;

  /** Loads of models with this stated time, milliseconds, that may run at once. */
  public maximumLoads(nominalMs: number): number {
    const initialLoads = Math.max(Math.floor(initialLoadBudgetMs / nominalMs), 1);
    return Math.min(initialLoads, this._sustainedLoads);
  }

  /** Factor by which an order takes longer than stated, if so many loads from the store run with it, itself included. */
  public slowdown(order: Pick<PlannedOrder, 'kind' | 'tier' | 'adapter'>, concurrentLoads: number): number {
    return isStoreLoad(order) ? Math.max(concurrentLoads / this._sustainedLoads, 1) : 1;
  }

  /**
   * Learns from a load that has taken `takenMs` so far or in all. `loadsAtOnce` counts those that ran at its start, itself
   * included: later ones do not slow it.
   */
  public recordLoad(nominalMs: number, elapsedMs: number, concurrentLoads: number): void {
    if (elapsedMs > nominalMs * slowLoadFactor) {
      const sustained = Math.floor((concurrentLoads * nominalMs) / elapsedMs);
      this._sustainedLoads = Math.max(1, Math.min(this._sustainedLoads, sustained));
    }
  }
}
