import type { SimulatedReplica } from './SimulatedReplica.js';

/** Result of a simulation. */
export interface BalanceResult {
  /** Mean over time of the busiest replica's requests over the mean of the replicas. */
  readonly busiestOverMean: number;
  /** Slots that are free while as many requests wait at other replicas, as a share of all slots. */
  readonly idleWhileQueued: number;
  /** Time from the request to its first event, milliseconds. */
  readonly firstEventMs: { readonly mean: number; readonly p95: number };
  readonly newConnectionsPerRequest: number;
  /** Share of the requests that stay in the failure domain of their daemon. */
  readonly sameDomainShare: number;
  readonly requests: number;
}

/** Collects the figures of a simulation. */
export class BalanceMeasure {
  private readonly _firstEventsMs: number[] = [];
  private _busiestSum = 0;
  private _idleSum = 0;
  private _samples = 0;
  private _choices = 0;
  private _newConnections = 0;
  private _sameDomain = 0;

  public constructor(private readonly _replicas: readonly SimulatedReplica[]) {}

  public recordChoice(isNewConnection: boolean, isSameDomain: boolean): void {
    this._choices += 1;
    this._newConnections += isNewConnection ? 1 : 0;
    this._sameDomain += isSameDomain ? 1 : 0;
  }

  public recordFirstEvent(durationMs: number): void {
    this._firstEventsMs.push(durationMs);
  }

  public sample(): void {
    let busiest = 0;
    let total = 0;
    let idle = 0;
    let waiting = 0;
    let slots = 0;
    for (const replica of this._replicas) {
      busiest = Math.max(busiest, replica.total);
      total += replica.total;
      idle += replica.slots - replica.running;
      waiting += replica.waiting;
      slots += replica.slots;
    }
    this._samples += 1;
    this._busiestSum += total === 0 ? 0 : (busiest * this._replicas.length) / total;
    this._idleSum += Math.min(idle, waiting) / slots;
  }

  public result(): BalanceResult {
    const sorted = Float64Array.from(this._firstEventsMs).sort();
    return {
      busiestOverMean: this._busiestSum / this._samples,
      idleWhileQueued: this._idleSum / this._samples,
      firstEventMs: {
        mean: sorted.reduce((sum, durationMs) => sum + durationMs, 0) / sorted.length,
        p95: sorted[Math.floor(sorted.length * 0.95)] ?? 0,
      },
      newConnectionsPerRequest: this._newConnections / this._choices,
      sameDomainShare: this._sameDomain / this._choices,
      requests: sorted.length,
    };
  }
}
