import type { SlownessByReplica, SpeedReport } from './Types.js';

/**
 * Weight of a stream in the estimates. Replicas share their machines and are slow for some hundred milliseconds at a
 * time, so that a few streams do not show the lasting speed.
 */
const streamWeight = 0.08;
/** Bounds of the slowness of a replica. */
const slownessBounds = { minimum: 0.25, maximum: 4 } as const;
/** Streams after which the slowness of a replica is used; a single one may have met a slow moment. */
const minimumStreams = 5;

interface ReplicaEstimate {
  slowness: number;
  streams: number;
}

/**
 * Estimates at the leader how much longer work takes on each replica than in the mean, from the event gaps that all
 * daemons report. A single daemon receives too few streams of a replica. Larger models run slower everywhere, so a gap
 * is compared with the usual gap of its model.
 */
export class SpeedEstimator {
  /** Usual event gap of a model on a replica of mean speed, milliseconds. */
  private readonly _gapMs = new Map<string, number>();
  private readonly _replicas = new Map<string, ReplicaEstimate>();

  public apply(reports: readonly SpeedReport[]): void {
    for (const report of reports) {
      this._applyReport(report);
    }
  }

  /** Removes the estimates of replicas that are gone. */
  public retain(isKnown: (replicaId: string) => boolean): void {
    for (const replicaId of this._replicas.keys()) {
      if (!isKnown(replicaId)) {
        this._replicas.delete(replicaId);
      }
    }
  }

  /** Slowness of each replica that enough streams are known of, relative to the mean of these replicas. */
  public slowness(): SlownessByReplica {
    const known = [...this._replicas].filter(([, { streams }]) => streams >= minimumStreams);
    const mean = known.reduce((sum, [, { slowness }]) => sum + slowness, 0) / Math.max(known.length, 1);
    return Object.fromEntries(known.map(([id, { slowness }]) => [id, slowness / mean]));
  }

  private _applyReport({ replicaId, model, streams, eventGapMs }: SpeedReport): void {
    if (streams < 1 || eventGapMs <= 0 || !Number.isFinite(eventGapMs)) {
      return;
    }
    const estimate = this._replicas.get(replicaId) ?? { slowness: 1, streams: 0 };
    this._replicas.set(replicaId, estimate);
    const weight = 1 - (1 - streamWeight) ** streams;
    const normalGapMs = eventGapMs / estimate.slowness;
    const usualGapMs = this._gapMs.get(model) ?? normalGapMs;
    this._gapMs.set(model, usualGapMs + (normalGapMs - usualGapMs) * weight);
    const measured = eventGapMs / usualGapMs;
    const { minimum, maximum } = slownessBounds;
    // The first streams weigh more, so that a new replica does not keep the mean speed for long.
    const replicaWeight = Math.max(weight, streams / (estimate.streams + streams + 1));
    const slowness = estimate.slowness + (measured - estimate.slowness) * replicaWeight;
    estimate.slowness = Math.min(Math.max(slowness, minimum), maximum);
    estimate.streams += streams;
  }
}
