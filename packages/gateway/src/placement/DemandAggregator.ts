import type { DaemonReport, RunningReport, WaitingReport } from '../peers/Types.js';
import type { ModelReference } from '../Types.js';
import type { Demand } from './Types.js';

/** Time constant of the request rates, milliseconds: short enough to follow demand that shifts within seconds. */
const rateTimeConstantMs = 4_000;
/**
 * A daemon that has not reported for this long counts as stopped and its requests are ignored, milliseconds. Daemons
 * report each second.
 */
const reportLifetimeMs = 3_000;
/** Rates below this are removed, requests per second. */
const negligibleRate = 0.01;

/** A wait ends after this time without waiting requests, milliseconds. Callers retry refused requests within it. */
const waitGapMs = 2_000;

/** Number of daemons that must report a replica as unreachable before its models are loaded elsewhere. */
const unreachableVotes = 2;

/** Period in which requests wait for a model or adapter, steady milliseconds. */
interface WaitPeriod {
  readonly sinceMs: number;
  readonly lastMs: number;
}

interface Rate {
  readonly modelReference: ModelReference;
  perSecond: number;
  updatedMs: number;
  latencyTargetMs: number;
  callerTimeoutMs?: number;
}

interface StoredReport {
  readonly report: DaemonReport;
  readonly receivedMs: number;
}

/** Aggregates the demand that the daemons report. */
export class DemandAggregator {
  private readonly _reports = new Map<string, StoredReport>();
  private readonly _rates = new Map<string, Rate>();
  private readonly _waits = new Map<string, WaitPeriod>();

  public apply(report: DaemonReport, nowMs: number): void {
    this._reports.set(report.daemon, { report, receivedMs: nowMs });
    for (const arrival of report.arrivals) {
      const rate = this._rate(arrival.target, nowMs);
      const addedPerSecond = (arrival.count * 1000) / rateTimeConstantMs;
      if (arrival.callerTimeoutMs !== undefined) {
        const share = addedPerSecond / (rate.perSecond + addedPerSecond);
        const beforeMs = rate.callerTimeoutMs ?? arrival.callerTimeoutMs;
        rate.callerTimeoutMs = beforeMs + (arrival.callerTimeoutMs - beforeMs) * share;
      }
      rate.perSecond += addedPerSecond;
      rate.latencyTargetMs = arrival.latencyTargetMs;
    }
  }

  /** Demand for every model and adapter that is requested. */
  public demands(nowMs: number): readonly Demand[] {
    this._removeExpired(nowMs);
    const waiting = this._waiting(nowMs);
    for (const [key, entry] of waiting) {
      this._rate(entry.target, nowMs);
      this._waits.set(key, { sinceMs: this._waits.get(key)?.sinceMs ?? nowMs, lastMs: nowMs });
    }
    return [...this._rates].map(([key, rate]) => {
      const entry = waiting.get(key);
      const callerTimeoutMs = entry?.callerTimeoutMs;
      return {
        modelReference: rate.modelReference,
        waiting: entry?.count ?? 0,
        slackMs: entry?.slackMs ?? Number.POSITIVE_INFINITY,
        requiredVersions: [...new Set(entry?.requiredVersions)],
        unservedMs: nowMs - (this._waits.get(key)?.sinceMs ?? nowMs),
        ratePerSecond: decayed(rate, nowMs),
        latencyTargetMs: rate.latencyTargetMs,
        ...(callerTimeoutMs !== undefined && { waitingTimeoutMs: callerTimeoutMs }),
        ...(rate.callerTimeoutMs !== undefined && { callerTimeoutMs: rate.callerTimeoutMs }),
      };
    });
  }

  /** Requests that run on replicas, as the daemons last reported. */
  public running(): readonly RunningReport[] {
    return [...this._reports.values()].flatMap(({ report }) => report.running);
  }

  /**
   * Replicas that several daemons could not connect to. A single daemon's report suffices only if no other daemon
   * reports at all, because that daemon may itself be cut off from the network.
   */
  public unreachable(): ReadonlySet<string> {
    const reports = [...this._reports.values()].map(({ report }) => report);
    const votes = new Map<string, number>();
    for (const id of reports.flatMap((report) => report.unreachable)) {
      votes.set(id, (votes.get(id) ?? 0) + 1);
    }
    const neededVotes = Math.min(unreachableVotes, reports.length);
    return new Set([...votes].filter(([, count]) => count >= neededVotes).map(([id]) => id));
  }

  private _waiting(nowMs: number): ReadonlyMap<string, WaitingReport> {
    const sums = new Map<string, WaitingReport>();
    for (const { report, receivedMs } of this._reports.values()) {
      for (const entry of report.waiting) {
        const key = modelReferenceKey(entry.target);
        const sum = sums.get(key);
        const slackMs = Math.min(entry.slackMs - (nowMs - receivedMs), sum?.slackMs ?? Number.POSITIVE_INFINITY);
        const requiredVersions = [...(sum?.requiredVersions ?? []), ...(entry.requiredVersions ?? [])];
        const ageMs = nowMs - receivedMs;
        const timeouts = [sum?.callerTimeoutMs, entry.callerTimeoutMs && entry.callerTimeoutMs - ageMs].filter(
          (ms) => ms !== undefined,
        );
        sums.set(key, {
          target: entry.target,
          count: entry.count + (sum?.count ?? 0),
          slackMs,
          requiredVersions,
          ...(timeouts.length > 0 && { callerTimeoutMs: Math.max(...timeouts) }),
        });
      }
    }
    return sums;
  }

  private _rate(modelReference: ModelReference, nowMs: number): Rate {
    const key = modelReferenceKey(modelReference);
    const rate = this._rates.get(key) ?? { modelReference, perSecond: 0, updatedMs: nowMs, latencyTargetMs: Infinity };
    rate.perSecond = decayed(rate, nowMs);
    rate.updatedMs = nowMs;
    this._rates.set(key, rate);
    return rate;
  }

  private _removeExpired(nowMs: number): void {
    for (const [daemon, { receivedMs }] of this._reports) {
      if (nowMs - receivedMs > reportLifetimeMs) {
        this._reports.delete(daemon);
      }
    }
    for (const [key, wait] of this._waits) {
      if (nowMs - wait.lastMs > waitGapMs) {
        this._waits.delete(key);
      }
    }
    for (const [key, rate] of this._rates) {
      if (decayed(rate, nowMs) < negligibleRate) {
        this._rates.delete(key);
      }
    }
  }
}

/** Map key of a model with its optional adapter. */
export function modelReferenceKey(modelReference: ModelReference): string {
  return modelReference.adapter === undefined
    ? modelReference.model
    : `${modelReference.model}/${modelReference.adapter}`;
}

function decayed(rate: Rate, nowMs: number): number {
  return rate.perSecond * Math.exp(-(nowMs - rate.updatedMs) / rateTimeConstantMs);
}
