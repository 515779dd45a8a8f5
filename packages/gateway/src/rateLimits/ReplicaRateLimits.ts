import * as common from '@jayhaven/common';
import type { Instant, Replica } from '../Types.js';
import { LeaderlessPermits } from './LeaderlessPermits.js';
import { PermitPool } from './PermitPool.js';
import { leaderlessSpacingMs } from './permitRates.js';
import type { RateLimitMetrics } from './RateLimitMetrics.js';
import { RateLimitTable } from './RateLimitTable.js';
import {
  type PermitDemand,
  type PermitMessage,
  type PermitReport,
  type PermitWait,
  type RateLimitStatement,
  spareUrgency,
} from './Types.js';

/** Least time between two messages about the limit of one replica, milliseconds. */
const statementIntervalMs = 200;
/** Time after which an expected wait is out of date, milliseconds. The leader answers each report of a demand. */
const waitLifetimeMs = 1_200;

/** Who grants the permits of this daemon: the daemon itself as the leader, the leader that it hears, or nobody. */
export type PermitSource = 'self' | 'leader' | 'none';

/** What the rate limits of a daemon depend on. */
export interface RateLimitContext {
  permitSource(): PermitSource;
  /** Largest number of daemons that may share a limit. */
  daemonCount(): number;
  /** A random number from 0 to below 1. */
  random(): number;
}

interface ExpectedWaits {
  readonly receivedMs: number;
  readonly waits: readonly PermitWait[];
}

/**
 * The rate limits of replicas as this daemon knows them, and its permits to send requests to these replicas. A request
 * to a replica with a limit needs a permit, which the leader grants, so that all daemons together keep the limit.
 */
export class ReplicaRateLimits {
  private readonly _table = new RateLimitTable();
  private readonly _permits = new PermitPool();
  private readonly _leaderlessPermits: LeaderlessPermits;
  private readonly _waits = new Map<string, ExpectedWaits>();
  /** Requests that preferred a replica without a permit and were sent elsewhere, since the last report. */
  private readonly _spareDemands = new Map<string, number>();
  /** Time of the last message about the limit of a replica, steady milliseconds. */
  private readonly _lastStatementMs = new Map<string, number>();
  private readonly _onStatement = new common.Emitter<RateLimitStatement>();
  /** Fires when a response states another limit than the one in force. */
  public readonly onStatement = this._onStatement.event;
  /** Fires when a limit begins, changes or ends. */
  public readonly onChanged = this._table.onChanged;

  public constructor(
    private readonly _context: RateLimitContext,
    private readonly _metrics: RateLimitMetrics,
    private readonly _log: common.Logger,
  ) {
    this._leaderlessPermits = new LeaderlessPermits(() => _context.random());
    this._table.onChanged((statement) => {
      this._logChange(statement);
    });
  }

  /** Limit in force of a replica, requests per second; undefined without one. */
  public perSecond(replicaId: string): number | undefined {
    return this._table.perSecond(replicaId);
  }

  /** All limits in force. */
  public limits(): readonly RateLimitStatement[] {
    return this._table.limits();
  }

  /** True if a request may be sent to a replica now. */
  public maySend(replicaId: string, now: Instant): boolean {
    const limit = this.perSecond(replicaId);
    if (limit === undefined || this._permits.available(replicaId, now) > 0) {
      return true;
    }
    return this._isLeaderless() && this._leaderlessNextInMs(replicaId, limit, now) === 0;
  }

  /** Records that a request is sent to a replica, which uses a permit if the replica has a limit. */
  public recordSend(replicaId: string, now: Instant): void {
    const limit = this.perSecond(replicaId);
    if (limit === undefined) {
      return;
    }
    this._metrics.count('sent');
    if (!this._permits.tryTake(replicaId, now) && this._isLeaderless()) {
      this._leaderlessPermits.tryTake(replicaId, this._leaderlessSpacingMs(limit), now.steadyMs);
      this._metrics.count('leaderless');
    }
  }

  /** Records that a request preferred a replica without a permit and was sent elsewhere. */
  public recordSpareDemand(replicaId: string): void {
    this._spareDemands.set(replicaId, (this._spareDemands.get(replicaId) ?? 0) + 1);
    this._metrics.count('sentElsewhere');
  }

  /** Counts a request that begins to wait for a permit. */
  public recordWait(): void {
    this._metrics.count('waited');
  }

  /** Creates the report of the permits that this daemon needs; `waiting` are the demands of its waiting requests. */
  public takeReport(waiting: readonly PermitDemand[], now: Instant): PermitReport {
    const spare = [...this._spareDemands].map(([replicaId, count]) => ({
      replicaId,
      urgency: spareUrgency,
      count,
      slackMs: 0,
    }));
    this._spareDemands.clear();
    return { demands: [...waiting, ...spare], reportedAt: now };
  }

  /**
   * Expected time until a request gets a permit, milliseconds; undefined if it is not known. `position` is the number of
   * this daemon's requests with the same urgency that get theirs before.
   */
  public expectedWaitMs(replicaId: string, urgency: number, position: number, now: Instant): number | undefined {
    const limit = this.perSecond(replicaId);
    if (limit !== undefined && this._isLeaderless()) {
      return this._leaderlessNextInMs(replicaId, limit, now) + position * this._leaderlessSpacingMs(limit);
    }
    const expected = this._waits.get(replicaId);
    const wait = expected?.waits.find((one) => one.urgency === urgency);
    const ageMs = now.steadyMs - (expected?.receivedMs ?? Number.NEGATIVE_INFINITY);
    return wait === undefined || ageMs > waitLifetimeMs
      ? undefined
      : Math.max(wait.firstInMs + position * wait.spacingMs - ageMs, 0);
  }

  /** Applies the leader's answer to the demands of this daemon. */
  public applyPermits(message: PermitMessage, now: Instant): void {
    for (const { replicaId, granted, waits } of message.replicas) {
      this._permits.add(replicaId, granted, message.reportedAt);
      this._waits.set(replicaId, { receivedMs: now.steadyMs, waits });
      this._metrics.count('granted', granted);
    }
  }

  /** Records the limit that a response of a replica states; `perSecond` is undefined if it states none. */
  public recordResponse(replica: Replica, perSecond: number | undefined, nowMs: number): void {
    const { id: replicaId, bornMs } = replica;
    const statement = { replicaId, bornMs, ...(perSecond !== undefined && { perSecond }) };
    if (this.recordStatement(statement, nowMs) && this._isStatementDue(replicaId, nowMs)) {
      this._lastStatementMs.set(replicaId, nowMs);
      this._onStatement.fire(statement);
    }
  }

  /** Records a statement of a replica that this daemon or a peer received. Returns true if it differs from the limit. */
  public recordStatement(statement: RateLimitStatement, nowMs: number): boolean {
    return this._table.record(statement, this._context.permitSource() !== 'leader', nowMs);
  }

  /** Applies a limit that the leader has put in force or ended. */
  public applyLimit(statement: RateLimitStatement): void {
    this._table.set(statement);
  }

  /** Removes what is kept of replicas that are gone or have started anew. */
  public retain(bornMsOf: (replicaId: string) => number | undefined): void {
    this._table.retain(bornMsOf);
    for (const replicaId of [...this._waits.keys(), ...this._lastStatementMs.keys()]) {
      if (this.perSecond(replicaId) === undefined) {
        this._waits.delete(replicaId);
        this._lastStatementMs.delete(replicaId);
      }
    }
    if (!this._isLeaderless()) {
      this._leaderlessPermits.clear();
    }
  }

  private _isLeaderless(): boolean {
    return this._context.permitSource() === 'none';
  }

  private _leaderlessSpacingMs(limit: number): number {
    return leaderlessSpacingMs(limit, this._context.daemonCount());
  }

  private _leaderlessNextInMs(replicaId: string, limit: number, now: Instant): number {
    return this._leaderlessPermits.nextInMs(replicaId, this._leaderlessSpacingMs(limit), now.steadyMs);
  }

  private _isStatementDue(replicaId: string, nowMs: number): boolean {
    return nowMs - (this._lastStatementMs.get(replicaId) ?? Number.NEGATIVE_INFINITY) >= statementIntervalMs;
  }

  private _logChange({ replicaId, perSecond }: RateLimitStatement): void {
    this._metrics.setLimitedReplicas(this._table.size);
    const source = this._context.permitSource();
    if (perSecond === undefined) {
      this._log.info('Rate limit of a replica ended.', { replica: replicaId, permitSource: source });
    } else {
      this._log.info('Rate limit of a replica in force.', { replica: replicaId, perSecond, permitSource: source });
    }
  }
}
