import * as decisions from '@jayhaven/decisions';
import { acceleratorBytes } from './buildWorkload.js';
import type { Arrival, Percentiles, PolicyMeasures } from './Types.js';

const hourMs = 3_600_000;

interface LoadedReplica {
  readonly replica: decisions.ReplicaEntry;
  idleSinceMs: number | undefined;
}

/** Collects the measures of one replay. */
export class Measures {
  private readonly _allMs: number[] = [];
  private readonly _coldMs: number[] = [];
  private readonly _servedMs: number[] = [];
  private readonly _rules = new Map<string, number>();
  private readonly _loaded = new Map<decisions.ReplicaId, LoadedReplica>();
  private readonly _inFlight = new Map<string, number>();
  private _idleByteMs = 0;
  private _refused = 0;
  private _loads = 0;
  private _unloads = 0;

  /** Records that a request was answered; `waitedMs` is its cold-start time. */
  public recordServed(waitedMs: number, cold: boolean): void {
    this._allMs.push(waitedMs);
    this._servedMs.push(waitedMs);
    if (cold) {
      this._coldMs.push(waitedMs);
    }
  }

  /** Records a refused request; its cold-start time counts as its full deadline. */
  public recordRefused(arrival: Arrival, type: string): void {
    this._refused += 1;
    this._allMs.push(arrival.deadlineMs);
    this._coldMs.push(arrival.deadlineMs);
    this.countRule(`refused:${type}`);
  }

  public countRule(rule: string): void {
    this._rules.set(rule, (this._rules.get(rule) ?? 0) + 1);
  }

  public recordLoad(reason: decisions.DecisionReason): void {
    this._loads += 1;
    this.countRule(`load:${reason.rule}`);
  }

  public recordUnload(reason: decisions.DecisionReason): void {
    this._unloads += 1;
    this.countRule(`unload:${reason.rule}`);
  }

  public recordReady(replica: decisions.ReplicaEntry, nowMs: number): void {
    const idle = (this._inFlight.get(replica.model) ?? 0) === 0;
    this._loaded.set(replica.replica, { replica, idleSinceMs: idle ? nowMs : undefined });
  }

  public recordUnloaded(replica: decisions.ReplicaEntry, nowMs: number): void {
    const loaded = this._loaded.get(replica.replica);
    if (loaded !== undefined) {
      this._endIdle(loaded, nowMs);
      this._loaded.delete(replica.replica);
    }
  }

  /** Records a change of a model's requests in flight, waiting requests included. */
  public updateInFlight(model: string, change: 1 | -1, nowMs: number): void {
    const before = this._inFlight.get(model) ?? 0;
    this._inFlight.set(model, before + change);
    for (const loaded of this._loaded.values()) {
      if (loaded.replica.model !== model) {
        continue;
      }
      if (before === 0) {
        this._endIdle(loaded, nowMs);
      } else if (before + change === 0) {
        loaded.idleSinceMs = nowMs;
      }
    }
  }

  /** Ends the replay and returns its measures. */
  public finish(
    endMs: number,
    engines: Pick<PolicyMeasures, 'tiers' | 'highestMemoryShare'>,
    rejectedRecords: number,
  ): PolicyMeasures {
    for (const loaded of this._loaded.values()) {
      this._endIdle(loaded, endMs);
    }
    return {
      requests: this._allMs.length,
      coldRequests: this._coldMs.length,
      refused: this._refused,
      refusedShare: this._refused / Math.max(1, this._allMs.length),
      all: percentilesOf(this._allMs),
      cold: percentilesOf(this._coldMs),
      served: percentilesOf(this._servedMs),
      meanMs: this._allMs.reduce((sum, value) => sum + value, 0) / Math.max(1, this._allMs.length),
      idleAcceleratorHours: this._idleByteMs / acceleratorBytes / hourMs,
      loads: this._loads,
      unloads: this._unloads,
      tiers: engines.tiers,
      rules: Object.fromEntries([...this._rules].sort(([first], [second]) => (first < second ? -1 : 1))),
      rejectedRecords,
      highestMemoryShare: engines.highestMemoryShare,
    };
  }

  private _endIdle(loaded: LoadedReplica, nowMs: number): void {
    if (loaded.idleSinceMs !== undefined) {
      this._idleByteMs += decisions.sumBytes(loaded.replica.bytes) * (nowMs - loaded.idleSinceMs);
      loaded.idleSinceMs = undefined;
    }
  }
}

function percentilesOf(values: readonly number[]): Percentiles {
  const sorted = [...values].sort((first, second) => first - second);
  return { p95Ms: percentile(sorted, 0.95), p99Ms: percentile(sorted, 0.99) };
}

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.max(0, Math.ceil(sorted.length * share) - 1)] ?? 0;
}
