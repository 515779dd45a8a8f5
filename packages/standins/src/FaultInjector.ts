import type { RandomSource } from './RandomSource.js';
import type { FaultRate } from './Types.js';

/** Decides for each call whether to inject a fault. */
export class FaultInjector {
  private _rate: FaultRate = false;

  public constructor(private readonly _random: RandomSource) {}

  public get rate(): FaultRate {
    return this._rate;
  }

  /** Sets the rate. `undefined` leaves it unchanged. */
  public set(rate: FaultRate | undefined): void {
    this._rate = rate ?? this._rate;
  }

  /** Returns whether to inject the fault into this call. Decrements a rate that is a number of calls. */
  public shouldInject(): boolean {
    if (typeof this._rate === 'boolean') {
      return this._rate;
    }
    if (this._rate >= 1) {
      this._rate = this._rate >= 2 ? this._rate - 1 : false;
      return true;
    }
    return this._random.next() < this._rate;
  }
}
