import type * as common from '@jayhaven/common';

/** A target that may take a request, with what this daemon knows of its load. */
export interface RouteCandidate {
  readonly target: common.TargetAddress;
  /** Requests that this daemon has in flight at the target. */
  readonly inFlight: number;
  /** Requests of other daemons according to the last digest. */
  readonly othersInFlight: number;
  /** Time since the digest last changed, milliseconds. */
  readonly digestAgeMs: number;
  /** Requests that the target runs at once; 0 if unknown. */
  readonly slots: number;
  /** False if the collector does not reach the target. */
  readonly reachable: boolean;
}

/** Token bucket that bounds retries to a share of the requests. */
export interface RetryBudget {
  readonly tokens: number;
}
