import type * as common from '@jayhaven/common';

/** Usage of one model version as reported to the owner. Times are of the owner's monotonic clock, milliseconds. */
export interface ModelUsage {
  /** Last time at which a request arrived or was in flight; initially the time at which the owner began to record. */
  readonly lastUsedMs: number;
  /** Requests in flight at all daemons. */
  readonly inFlight: number;
  /** Highest number of requests in flight within the last one to two minutes. */
  readonly peakInFlight: number;
  /** Requests in flight per adapter. */
  readonly adaptersInFlight: ReadonlyMap<string, number>;
  /** Last use of each adapter. */
  readonly adaptersLastUsedMs: ReadonlyMap<string, number>;
  readonly gaps: GapStatistics;
}

/** Distribution of the times between requests of one model. */
export interface GapStatistics {
  readonly samples: number;
  /** Upper bound that the given share of all gaps does not exceed, milliseconds. */
  percentileMs(share: number): number;
  /** Share of gaps longer than the given time, 0 to 1. */
  shareAbove(gapMs: number): number;
  /**
   * Keep-alive time up to `maximumMs` that would have cost least over the past gaps, milliseconds. Idle time costs its
   * duration, and a gap longer than the keep-alive time costs `coldStartCostMs` in addition.
   */
  cheapestKeepAliveMs(coldStartCostMs: number, maximumMs: number): number;
}

/** Weight that a partner gives to cold starts relative to idle time. */
export interface PartnerWeight {
  /** 0: only idle accelerator hours count; 1: only tail cold-start time counts. */
  readonly coldStart: number;
}

/** Weights per partner; for a partner without an entry, the `coldStartWeight` of the model settings applies. */
export type PartnerWeights = ReadonlyMap<common.PartnerName, PartnerWeight>;
