/** A rate limit that a replica stated in a response, or that a peer passes on. */
export interface RateLimitStatement {
  readonly replicaId: string;
  /** Start time of the replica. A replica started later under the same id has no limit until it states one. */
  readonly bornMs: number;
  /** Requests per second that the replica takes from all daemons together; absent if it states no limit. */
  readonly perSecond?: number;
}
