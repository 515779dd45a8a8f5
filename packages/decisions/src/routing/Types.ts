import type * as common from '@jayhaven/common';

/** Target that a request may be sent to, with the load that this daemon has observed. */
export interface RouteCandidate {
  readonly target: common.TargetAddress;
  /** Requests that this daemon has in flight at the target. */
  readonly inFlight: number;
  /** Requests of other daemons at the target according to its last load digest. */
  readonly othersInFlight: number;
  /** Time since the digest last changed, milliseconds. */
  readonly digestAgeMs: number;
  /** Requests that the target can run concurrently; 0 if unknown. */
  readonly slots: number;
  /** False if the daemon that collects the target's load cannot reach it. */
  readonly reachable: boolean;
}

/** Token bucket that limits retries to a share of the requests. */
export interface RetryBudget {
  readonly tokens: number;
}
