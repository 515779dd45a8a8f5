import type { SpeedReport } from './Types.js';

/** Largest number of entries of a report. Replicas and models beyond it are reported next time. */
const maximumEntries = 32;

interface Sum {
  readonly replicaId: string;
  readonly model: string;
  streams: number;
  totalGapMs: number;
}

/** Collects the event gaps of the streams that have ended at this daemon, for its next report to the leader. */
export class SpeedReports {
  private readonly _sums = new Map<string, Sum>();

  public record(replicaId: string, model: string, eventGapMs: number): void {
    const key = `${replicaId} ${model}`;
    const sum = this._sums.get(key) ?? { replicaId, model, streams: 0, totalGapMs: 0 };
    sum.streams += 1;
    sum.totalGapMs += eventGapMs;
    this._sums.set(key, sum);
  }

  /** Returns what was collected and begins anew. */
  public take(): readonly SpeedReport[] {
    const reports: SpeedReport[] = [];
    for (const [key, { replicaId, model, streams, totalGapMs }] of this._sums) {
      if (reports.length === maximumEntries) {
        break;
      }
      reports.push({ replicaId, model, streams, eventGapMs: totalGapMs / streams });
      this._sums.delete(key);
    }
    return reports;
  }
}
