import type { Instant } from '../Types.js';
import { permitLifetimeMs } from './permitRates.js';
import { PermitQueue } from './PermitQueue.js';
import type { PermitMessage, PermitReport, ReplicaPermits } from './Types.js';

/**
 * A report older than this gets no more permits, milliseconds: they would arrive with little of their time left. Daemons
 * repeat their demands more often.
 */
const reportLifetimeMs = permitLifetimeMs * 0.7;

/** The newest report of a daemon. Its demands are in the queues of the replicas. */
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
  private readonly _queues = new Map<string, PermitQueue>();

  public constructor(private readonly _limitOf: LimitLookup) {}

  /** Forgets all demands and tokens, when a term as leader begins. */
  public reset(): void {
    this._reports.clear();
    this._queues.clear();
  }

  /**
   * Replaces the demands of a daemon. Returns the answer to it, with the permits that no other request waits for and with
   * the expected waits; undefined if it has no demands.
   */
  public applyReport(daemon: string, report: PermitReport, nowMs: number): PermitMessage | undefined {
    this._remove(daemon);
    const { demands, reportedAt } = report;
    const replicaIds = new Set(demands.map(({ replicaId }) => replicaId));
    if (replicaIds.size === 0) {
      return undefined;
    }
    this._reports.set(daemon, { reportedAt, receivedMs: nowMs, replicaIds });
    const replicas = [...replicaIds].flatMap((replicaId): ReplicaPermits[] => {
      const limit = this._limitOf(replicaId);
      if (limit === undefined) {
        return [];
      }
      const queue = this._queue(replicaId, nowMs);
      queue.replace(
        daemon,
        demands.filter((demand) => demand.replicaId === replicaId),
      );
      const granted = queue.grantUncontested(daemon, limit, nowMs);
      return [{ replicaId, granted, waits: queue.waitsOf(daemon, limit) }];
    });
    return { reportedAt, replicas };
  }

  /** Grants the tokens that have accrued. Returns messages to the daemons that got permits. */
  public allocate(nowMs: number): ReadonlyMap<string, PermitMessage> {
    this._removeExpired(nowMs);
    const permits = new Map<string, ReplicaPermits[]>();
    for (const [replicaId, queue] of this._queues) {
      const limit = this._limitOf(replicaId) ?? 0;
      for (const [daemon, granted] of queue.grantTokens(limit, nowMs)) {
        const replicaPermits = { replicaId, granted, waits: queue.waitsOf(daemon, limit) };
        permits.set(daemon, [...(permits.get(daemon) ?? []), replicaPermits]);
      }
    }
    const messages = new Map<string, PermitMessage>();
    for (const [daemon, replicas] of permits) {
      const reportedAt = this._reports.get(daemon)?.reportedAt;
      if (reportedAt !== undefined) {
        messages.set(daemon, { reportedAt, replicas });
      }
    }
    return messages;
  }

  /** Takes a token for a request of the leader itself; false if there is none. A replica without a limit needs none. */
  public tryTake(replicaId: string, nowMs: number): boolean {
    const limit = this._limitOf(replicaId);
    return limit === undefined || this._queue(replicaId, nowMs).tryTake(limit, nowMs);
  }

  /** Keeps the next token of a replica for a request of the leader itself, until the returned function is called. */
  public reserve(replicaId: string, nowMs: number): () => void {
    return this._queue(replicaId, nowMs).reserve();
  }

  /** Time until all requests that wait for a replica have permits, milliseconds. */
  public backlogMs(replicaId: string): number {
    const limit = this._limitOf(replicaId);
    return limit === undefined ? 0 : (this._queues.get(replicaId)?.backlogMs(limit) ?? 0);
  }

  private _removeExpired(nowMs: number): void {
    for (const [daemon, { receivedMs }] of this._reports) {
      if (nowMs - receivedMs >= reportLifetimeMs) {
        this._remove(daemon);
      }
    }
    for (const replicaId of this._queues.keys()) {
      if (this._limitOf(replicaId) === undefined) {
        this._queues.delete(replicaId);
      }
    }
  }

  private _remove(daemon: string): void {
    for (const replicaId of this._reports.get(daemon)?.replicaIds ?? []) {
      this._queues.get(replicaId)?.remove(daemon);
    }
    this._reports.delete(daemon);
  }

  private _queue(replicaId: string, nowMs: number): PermitQueue {
    const queue = this._queues.get(replicaId) ?? new PermitQueue(nowMs);
    this._queues.set(replicaId, queue);
    return queue;
  }
}
