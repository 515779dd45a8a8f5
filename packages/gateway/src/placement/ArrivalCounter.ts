import type { ArrivalReport } from '../peers/Types.js';
import type { ModelReference } from '../Types.js';
import { modelReferenceKey } from './DemandAggregator.js';

/** Counts the requests that arrive at this daemon between two reports, by model and adapter. */
export class ArrivalCounter {
  private _arrivals = new Map<string, ArrivalReport>();

  public record(modelReference: ModelReference, latencyTargetMs: number): void {
    const key = modelReferenceKey(modelReference);
    const count = (this._arrivals.get(key)?.count ?? 0) + 1;
    this._arrivals.set(key, { target: modelReference, count, latencyTargetMs });
  }

  public get hasArrivals(): boolean {
    return this._arrivals.size > 0;
  }

  /** Returns the counts and resets them. */
  public take(): readonly ArrivalReport[] {
    const arrivals = [...this._arrivals.values()];
    this._arrivals = new Map();
    return arrivals;
  }
}
