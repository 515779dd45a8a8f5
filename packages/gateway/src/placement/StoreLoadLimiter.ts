import type { PlannedOrder } from './Types.js';
import { isStoreLoad } from './weights.js';

/** Upper limit of concurrent loads from the weight store. */
const storeLoadLimit = 4;
/**
 * Limits the concurrent loads before any load has been measured, milliseconds: together they must complete within this
 * time even if the store runs them one after another.
 */
const initialLoadBudgetMs = 24_000;
/** A load that exceeds its nominal time by this factor shows that too many loads ran concurrently. */
const slowLoadFactor = 1.3;

/**
 * Adapts the number of concurrent loads to the throughput of the weight store. Demand can shift during long loads: too
 * many concurrent loads would keep the store busy and delay the models that are requested later.
 */
export class StoreLoadLimiter {
  /** Number of concurrent loads that the store sustains, lowered by slow loads. */
  private _sustainedLoads = storeLoadLimit;

  /** Maximum number of concurrent loads of models with this nominal load time, milliseconds. */
  public maximumLoads(nominalMs: number): number {
    const initialLoads = Math.max(Math.floor(initialLoadBudgetMs / nominalMs), 1);
    return Math.min(initialLoads, this._sustainedLoads);
  }

  /** Factor by which an order exceeds its nominal time. `concurrentLoads` counts the store loads, this one included. */
  public slowdown(order: Pick<PlannedOrder, 'kind' | 'tier' | 'adapter'>, concurrentLoads: number): number {
    return isStoreLoad(order) ? Math.max(concurrentLoads / this._sustainedLoads, 1) : 1;
  }

  /**
   * Updates the limit from a load that has taken `elapsedMs` so far or in total. `concurrentLoads` counts the loads at
   * its start, itself included: later ones do not slow it down.
   */
  public recordLoad(nominalMs: number, elapsedMs: number, concurrentLoads: number): void {
    if (elapsedMs > nominalMs * slowLoadFactor) {
      const sustained = Math.floor((concurrentLoads * nominalMs) / elapsedMs);
      this._sustainedLoads = Math.max(1, Math.min(this._sustainedLoads, sustained));
    }
  }
}
