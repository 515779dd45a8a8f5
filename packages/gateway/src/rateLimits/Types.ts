import type { Instant } from '../Types.js';

/** A rate limit that a replica stated in a response, or that a peer passes on. */
export interface RateLimitStatement {
  readonly replicaId: string;
  /** Start time of the replica. A replica started later under the same id has no limit until it states one. */
  readonly bornMs: number;
  /** Requests per second that the replica takes from all daemons together; absent if it states no limit. */
  readonly perSecond?: number;
}

/** Requests of one daemon that need permits for a replica with a rate limit. */
export interface PermitDemand {
  readonly replicaId: string;
  /** Urgency of the requests from 0 (most urgent) to 9; `spareUrgency` for requests that were sent to other replicas. */
  readonly urgency: number;
  readonly count: number;
  /** Time until the first of them is late, milliseconds. */
  readonly slackMs: number;
}

/**
 * Urgency of the demand of requests that would have preferred the replica but were sent elsewhere. It gets the permits
 * that no waiting request needs, so that the replica is used and its next responses show whether the limit still holds.
 */
export const spareUrgency = 10;

/** Permit demands of a daemon, as part of its report to the leader. */
export interface PermitReport {
  readonly demands: readonly PermitDemand[];
  /** Time of the report by the daemon's clocks. The permits that answer it expire by this time. */
  readonly reportedAt: Instant;
}

/** Expected wait for permits of the requests of one daemon with one urgency, milliseconds. */
export interface PermitWait {
  readonly urgency: number;
  /** Time until the first of these requests gets a permit. */
  readonly firstInMs: number;
  /** Time between two permits for these requests. */
  readonly spacingMs: number;
}

/** Permits of one replica for one daemon. */
export interface ReplicaPermits {
  readonly replicaId: string;
  /** Number of requests that the daemon may send to the replica. */
  readonly granted: number;
  readonly waits: readonly PermitWait[];
}

/** The leader's answer to the permit demands of a daemon. */
export interface PermitMessage {
  /** Time of the report that is answered, by the clocks of the daemon that sent it. */
  readonly reportedAt: Instant;
  readonly replicas: readonly ReplicaPermits[];
}
