import type { ArrivalReport } from '../peers/Types.js';
import type { ModelReference } from '../Types.js';
import { modelReferenceKey } from './DemandAggregator.js';

/** Counts the requests that arrive at this daemon between two reports, by model and adapter. */
export class ArrivalCounter {
  private _arrivals = new Map<string, ArrivalReport>();

  /** Counts a request. `callerTimeoutMs` is the time that its caller waits for the first byte. */
  public record(modelReference: ModelReference, latencyTargetMs: number, callerTimeoutMs: number): void {
    const key = modelReferenceKey(modelReference);
    const before = this._arrivals.get(key);
    const count = (before?.count ?? 0) + 1;
    const beforeMs = before?.callerTimeoutMs ?? callerTimeoutMs;
    const meanMs = Math.round(beforeMs + (callerTimeoutMs - beforeMs) / count);
    this._arrivals.set(key, { target: modelReference, count, latencyTargetMs, callerTimeoutMs: meanMs });
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
