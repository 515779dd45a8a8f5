import type * as common from '@jayhaven/common';

/** Use of one model version as the owner knows it. Times are the owner's monotonic clock, milliseconds. */
export interface ModelUsage {
  /** Last time a request arrived or was in flight; when the owner started to watch if none did. */
  readonly lastUsedMs: number;
  /** Requests in flight over all daemons. */
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
  /** Upper bound of the gap that a share of all gaps does not exceed, milliseconds. */
  percentileMs(share: number): number;
  /** Share of gaps longer than the given time, 0 to 1. */
  shareAbove(gapMs: number): number;
  /**
   * Keep-alive up to `longestMs` that would have cost least over the past gaps, milliseconds. Idle time costs its
   * duration, a gap longer than the keep-alive costs `coldStartCostMs` in addition.
   */
  cheapestKeepAliveMs(coldStartCostMs: number, maximumMs: number): number;
}

/** What a partner gives more weight. */
export interface PartnerWeight {
  /** 0: only idle accelerator hours count; 1: only tail cold-start time counts. */
  readonly coldStart: number;
}

/** Weights per partner; a partner without an entry weighs both alike. */
export type PartnerWeights = ReadonlyMap<common.PartnerName, PartnerWeight>;
