import type { Instant } from '../Types.js';
import { grantPermits, type OpenDemand, permitWaits, waitingCount } from './grantPermits.js';
import { grantedRate, permitLifetimeMs } from './permitRates.js';
import { TokenBucket } from './TokenBucket.js';
import type { PermitMessage, PermitReport, ReplicaPermits } from './Types.js';

/**
 * A report older than this gets no more permits, milliseconds: they would arrive with little of their time left. Daemons
 * repeat their demands more often.
 */
const reportLifetimeMs = permitLifetimeMs * 0.7;

/** The newest report of a daemon. Its demands are kept by replica. */
interface Report {
  readonly reportedAt: Instant;
  readonly receivedMs: number;
  readonly replicaIds: ReadonlySet<string>;
}

/** Rate limit in force of a replica, requests per second; undefined without one. */
export type LimitLookup = (replicaId: string) => number | undefined;

/**
 * Shares the rate limits of replicas among the daemons, at the leader. A token bucket for each replica bounds the
 * permits over all daemons. Waiting requests get them in order of urgency and lateness at whichever daemon they wait, so
 * a limit far below one request per daemon is still used.
 */
export class PermitAllocator {
  private readonly _reports = new Map<string, Report>();
  /** Open demands by replica and daemon. */
  private readonly _demands = new Map<string, Map<string, readonly OpenDemand[]>>();
  private readonly _buckets = new Map<string, TokenBucket>();
  /** Requests of the leader itself that wait for a token, by replica. */
  private readonly _reserved = new Map<string, number>();

  public constructor(private readonly _limitOf: LimitLookup) {}

  /** Forgets all demands and tokens, when a term as leader begins. */
  public reset(): void {
    this._reports.clear();
    this._demands.clear();
    this._buckets.clear();
  }

  /**
   * Replaces the demands of a daemon and grants the tokens of their replicas. Returns messages to the daemons that got
   * permits, and one to the reporting daemon if it has demands, with its expected waits.
   */
  public applyReport(daemon: string, report: PermitReport, nowMs: number): ReadonlyMap<string, PermitMessage> {
    this._remove(daemon);
    const { demands, reportedAt } = report;
    if (demands.length === 0) {
      return new Map();
    }
    const replicaIds = new Set(demands.map(({ replicaId }) => replicaId));
    this._reports.set(daemon, { reportedAt, receivedMs: nowMs, replicaIds });
    for (const replicaId of replicaIds) {
      const open = demands.filter((demand) => demand.replicaId === replicaId);
      const byDaemon = this._demands.get(replicaId) ?? new Map<string, readonly OpenDemand[]>();
      byDaemon.set(
        daemon,
        open.map(({ urgency, count, slackMs }) => ({ daemon, urgency, slackMs, count })),
      );
      this._demands.set(replicaId, byDaemon);
    }
    return this._messages([...replicaIds], nowMs, daemon);
  }

  /** Grants the tokens that have accrued since. Returns messages to the daemons that got permits. */
  public allocate(nowMs: number): ReadonlyMap<string, PermitMessage> {
    for (const [daemon, { receivedMs }] of this._reports) {
      if (nowMs - receivedMs >= reportLifetimeMs) {
        this._remove(daemon);
      }
    }
    for (const replicaId of this._buckets.keys()) {
      if (this._limitOf(replicaId) === undefined) {
        this._buckets.delete(replicaId);
      }
    }
    return this._messages([...this._demands.keys()], nowMs);
  }

  /** Takes a token for a request of the leader itself; false if there is none. A replica without a limit needs none. */
  public tryTake(replicaId: string, nowMs: number): boolean {
    const limit = this._limitOf(replicaId);
    if (limit === undefined) {
      return true;
    }
    const bucket = this._bucket(replicaId, nowMs);
    const hasToken = bucket.available(grantedRate(limit), nowMs) >= 1;
    bucket.take(hasToken ? 1 : 0);
    return hasToken;
  }

  /** Keeps the next token of a replica for a request of the leader itself, until the returned function is called. */
  public reserve(replicaId: string): () => void {
    this._reserved.set(replicaId, this._reservedCount(replicaId) + 1);
    return () => {
      const remaining = this._reservedCount(replicaId) - 1;
      if (remaining > 0) {
        this._reserved.set(replicaId, remaining);
      } else {
        this._reserved.delete(replicaId);
      }
    };
  }

  /** Time until all requests that wait for a replica have permits, milliseconds. */
  public backlogMs(replicaId: string): number {
    const limit = this._limitOf(replicaId);
    const bucket = this._buckets.get(replicaId);
    const count = waitingCount(this._openDemands(replicaId));
    return limit === undefined || bucket === undefined || count === 0
      ? 0
      : bucket.timeToTokenMs(count - 1, grantedRate(limit));
  }

  private _messages(
    replicaIds: readonly string[],
    nowMs: number,
    reporter?: string,
  ): ReadonlyMap<string, PermitMessage> {
    const permits = new Map<string, ReplicaPermits[]>();
    for (const replicaId of replicaIds) {
      for (const [daemon, replicaPermits] of this._allocateReplica(replicaId, nowMs)) {
        permits.set(daemon, [...(permits.get(daemon) ?? []), replicaPermits]);
      }
    }
    const messages = new Map<string, PermitMessage>();
    for (const [daemon, replicas] of permits) {
      const reportedAt = this._reports.get(daemon)?.reportedAt;
      const hasGrants = replicas.some(({ granted }) => granted > 0);
      if (reportedAt !== undefined && (hasGrants || daemon === reporter)) {
        messages.set(daemon, { reportedAt, replicas });
      }
    }
    return messages;
  }

  private _allocateReplica(replicaId: string, nowMs: number): ReadonlyMap<string, ReplicaPermits> {
    const limit = this._limitOf(replicaId);
    if (limit === undefined) {
      return new Map();
    }
    const rate = grantedRate(limit);
    const bucket = this._bucket(replicaId, nowMs);
    const reserved = this._reservedCount(replicaId);
    const tokens = Math.max(bucket.available(rate, nowMs) - reserved, 0);
    const demands = this._openDemands(replicaId);
    const granted = grantPermits(demands, tokens);
    bucket.take([...granted.values()].reduce((sum, count) => sum + count, 0));
    const waits = permitWaits(demands, reserved, (position) => bucket.timeToTokenMs(position, rate), rate.perSecond);
    return new Map(
      [...waits].map(([daemon, daemonWaits]) => [
        daemon,
        { replicaId, granted: granted.get(daemon) ?? 0, waits: daemonWaits },
      ]),
    );
  }

  private _openDemands(replicaId: string): readonly OpenDemand[] {
    return [...(this._demands.get(replicaId)?.values() ?? [])].flat();
  }

  private _remove(daemon: string): void {
    for (const replicaId of this._reports.get(daemon)?.replicaIds ?? []) {
      const byDaemon = this._demands.get(replicaId);
      byDaemon?.delete(daemon);
      if (byDaemon?.size === 0) {
        this._demands.delete(replicaId);
      }
    }
    this._reports.delete(daemon);
  }

  private _reservedCount(replicaId: string): number {
    return this._reserved.get(replicaId) ?? 0;
  }

  private _bucket(replicaId: string, nowMs: number): TokenBucket {
    const bucket = this._buckets.get(replicaId) ?? new TokenBucket(nowMs);
    this._buckets.set(replicaId, bucket);
    return bucket;
  }
}
