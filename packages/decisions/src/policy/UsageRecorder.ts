import type * as common from '@jayhaven/common';
import type { ModelVersion } from '../Types.js';
import { GapHistogram } from './GapHistogram.js';
import type { ModelUsage } from './Types.js';

/** The requests in flight of a report are counted for this time, unless the daemon sends a new report. */
export const usageReportLifetimeMs = 5_000;

/** Line of a daemon's usage report. */
export interface UsageLine extends ModelVersion {
  readonly adapter?: string;
  readonly arrivals: number;
  readonly inFlight: number;
}

/** Shorter gaps belong to one burst and are not counted, because they would hide the idle times between bursts. */
const minimumGapMs = 5_000;

/** The peak of requests in flight covers the current and the previous window of this length. */
const peakWindowMs = 60_000;

interface InFlightReport {
  readonly inFlight: number;
  readonly atMs: number;
}

interface UsageRecord {
  readonly gaps: GapHistogram;
  lastUsedMs: number;
  lastArrivalMs: number | undefined;
  peak: { startedMs: number; current: number; previous: number };
  /** Last report of each daemon and adapter; the empty adapter name stands for the base model. */
  readonly reports: Map<common.Incarnation, Map<string, InFlightReport>>;
  readonly adaptersLastUsedMs: Map<string, number>;
}

/** Aggregates the usage reports of the daemons. The usage is kept only in the memory of the owner. */
export class UsageRecorder {
  private readonly _models = new Map<string, UsageRecord>();

  /** `startedMs` is the last use of models that were never reported. */
  public constructor(private readonly _startedMs: number) {}

  /** Records one report of a daemon. */
  public record(daemon: common.Incarnation, lines: readonly UsageLine[], nowMs: number): void {
    for (const line of lines) {
      this._recordLine(daemon, line, nowMs);
    }
  }

  /** Records a request that waits for the model as a use of it. */
  public touch(model: ModelVersion, adapter: string | undefined, nowMs: number): void {
    const record = this._recordOf(model);
    record.lastUsedMs = nowMs;
    if (adapter !== undefined) {
      record.adaptersLastUsedMs.set(adapter, nowMs);
    }
  }

  /** Current usage of a model. */
  public usageOf(model: ModelVersion, nowMs: number): ModelUsage {
    const record = this._recordOf(model);
    const adaptersInFlight = new Map<string, number>();
    let inFlight = 0;
    for (const [daemon, reports] of record.reports) {
      for (const [adapter, report] of reports) {
        if (nowMs - report.atMs > usageReportLifetimeMs) {
          reports.delete(adapter);
          continue;
        }
        inFlight += report.inFlight;
        adaptersInFlight.set(adapter, (adaptersInFlight.get(adapter) ?? 0) + report.inFlight);
      }
      if (reports.size === 0) {
        record.reports.delete(daemon);
      }
    }
    return {
      peakInFlight: updatePeak(record, inFlight, nowMs),
      lastUsedMs: inFlight > 0 ? nowMs : record.lastUsedMs,
      inFlight,
      adaptersInFlight,
      adaptersLastUsedMs: record.adaptersLastUsedMs,
      gaps: record.gaps,
    };
  }

  private _recordLine(daemon: common.Incarnation, line: UsageLine, nowMs: number): void {
    const record = this._recordOf(line);
    if (line.arrivals > 0) {
      if (record.lastArrivalMs !== undefined && nowMs - record.lastArrivalMs >= minimumGapMs) {
        record.gaps.add(nowMs - record.lastArrivalMs);
      }
      record.lastArrivalMs = nowMs;
    }
    if (line.arrivals > 0 || line.inFlight > 0) {
      record.lastUsedMs = nowMs;
      if (line.adapter !== undefined) {
        record.adaptersLastUsedMs.set(line.adapter, nowMs);
      }
    }
    const reports = record.reports.get(daemon) ?? new Map<string, InFlightReport>();
    reports.set(line.adapter ?? '', { inFlight: line.inFlight, atMs: nowMs });
    record.reports.set(daemon, reports);
  }

  private _recordOf(model: ModelVersion): UsageRecord {
    const key = `${model.partner}/${model.model}@${model.version}`;
    let record = this._models.get(key);
    if (record === undefined) {
      record = {
        gaps: new GapHistogram(),
        lastUsedMs: this._startedMs,
        lastArrivalMs: undefined,
        peak: { startedMs: this._startedMs, current: 0, previous: 0 },
        reports: new Map(),
        adaptersLastUsedMs: new Map(),
      };
      this._models.set(key, record);
    }
    return record;
  }
}

function updatePeak(record: UsageRecord, inFlight: number, nowMs: number): number {
  const { peak } = record;
  if (nowMs - peak.startedMs > peakWindowMs) {
    const wasRecent = nowMs - peak.startedMs <= 2 * peakWindowMs;
    record.peak = { startedMs: nowMs, current: inFlight, previous: wasRecent ? peak.current : 0 };
  } else {
    peak.current = Math.max(peak.current, inFlight);
  }
  return Math.max(record.peak.current, record.peak.previous);
}
