import type { LeaderlessPermits } from '../rateLimits/LeaderlessPermits.js';
import { isPermitValid, PermitPool } from '../rateLimits/PermitPool.js';
import type { Instant, TenantQuota } from '../Types.js';
import { DecayingRate } from './DecayingRate.js';
import {
  creditLifetimeMs,
  leaderlessRate,
  longestQueueUnits,
  minimumSpareRequests,
  ownRateMs,
  quotaRate,
  spareMs,
} from './quotaRates.js';
import type { QuotaMetrics } from './QuotaMetrics.js';
import { QuotaTicket } from './QuotaTicket.js';
import type { TenantAnswer, TenantAsk } from './Types.js';

/** Largest number of requests of one tenant in a message. */
const maximumAsked = 64;
/** Time after which an unanswered request is asked for again, milliseconds. */
const answerTimeoutMs = 500;
/** Longest time until a request that a new leader has nothing for is asked for again, milliseconds. */
const longestHoldMs = 500;
/** Time that a request needs after its grant at least, milliseconds. */
const serviceReserveMs = 200;
const recentUseMs = 1_000;
/** Time over which a daemon measures the rate of its grants for the case that its leader is lost, milliseconds. */
const ownRateWindowMs = 4_000;
/** Time from the last message of a leader until the daemon counts it as lost, milliseconds. No grants come in it. */
const silenceMs = 1_200;

/** Why requests over the quota are refused. */
const refusals = {
  overQuota: 'the quota of the tenant is used up',
  tooLarge: 'the request is larger than the quota of the tenant allows at once',
  queue: 'more requests of the tenant wait than its quota allows',
} as const;

/** What the credits of a daemon depend on. */
export interface CreditContext {
  readonly metrics: QuotaMetrics;
  readonly leaderlessPermits: LeaderlessPermits;
  daemonCount(): number;
}

/** One tenant's requests and credit at one daemon. */
export class TenantCredit {
  private readonly _pool = new PermitPool(creditLifetimeMs);
  private readonly _waiting = new Set<QuotaTicket>();
  private readonly _recentUnits = new DecayingRate(recentUseMs);
  private readonly _recentRequests = new DecayingRate(recentUseMs);
  /** Recent grants of the leader, oldest first. */
  private _grants: readonly { readonly grantedAt: Instant; readonly units: number }[] = [];
  /** Beginning of the time without a leader, and rate of the grants before it. */
  private _alone: { readonly since: Instant; readonly ownPerSecond: number } | undefined;
  private _usedAlone = 0;
  private _waitingUnits = 0;
  private _lastUseMs = Number.NEGATIVE_INFINITY;
  /** Time of the last message that asked for spare credit, steady milliseconds. */
  private _spareAskedMs = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly _tenant: string,
    private _quota: TenantQuota,
    private readonly _context: CreditContext,
  ) {}

  public setQuota(quota: TenantQuota): void {
    this._quota = quota;
  }

  /** Units that this daemon used without a leader since `takeUsedAlone`. */
  public get usedAlone(): number {
    return this._usedAlone;
  }

  /** Time of the last request, steady milliseconds. */
  public get lastUseMs(): number {
    return this._lastUseMs;
  }

  /** Number of waiting requests. */
  public get waitingCount(): number {
    return this._waiting.size;
  }

  /** Decides on a request, which waits if there is no credit for it. */
  public enter(ticket: QuotaTicket, now: Instant): void {
    const { metrics } = this._context;
    this._lastUseMs = now.steadyMs;
    this._recentUnits.add(ticket.units, now.steadyMs);
    this._recentRequests.add(1, now.steadyMs);
    if (ticket.units > quotaRate(this._quota).capacity) {
      metrics.count('refused');
      ticket.finish({ kind: 'refused', reason: refusals.tooLarge });
    } else if (this._waiting.size === 0 && this._pool.tryTake(this._tenant, now, ticket.units)) {
      metrics.count('credit');
      ticket.finish({ kind: 'granted' });
    } else if (this._waitingUnits + ticket.units > longestQueueUnits(this._quota)) {
      metrics.count('refused');
      const retryAfterMs = (this._waitingUnits * 1_000) / this._quota.perSecond;
      ticket.finish({ kind: 'refused', reason: refusals.queue, retryAfterMs });
    } else {
      this._waiting.add(ticket);
      this._waitingUnits += ticket.units;
    }
  }

  /** Forgets a request whose caller has left. A grant that it has got serves the next one. */
  public withdraw(ticket: QuotaTicket): void {
    if (this._remove(ticket) && ticket.state.kind === 'delayed') {
      this._pool.add(this._tenant, ticket.units, ticket.state.askedAt);
    }
  }

  /** True if requests have not been asked for, or credit for expected ones is due. */
  public needsAsk(now: Instant): boolean {
    return [...this._waiting].some(({ state }) => state.kind === 'unasked') || this._spareWanted(now) > 0;
  }

  /** Returns what to ask the leader for; undefined if nothing is needed. */
  public takeAsk(now: Instant): { readonly ask: TenantAsk; readonly tickets: readonly QuotaTicket[] } | undefined {
    const tickets = [...this._waiting].filter(({ state }) => state.kind === 'unasked').slice(0, maximumAsked);
    const spare = this._spareWanted(now);
    if (tickets.length === 0 && spare === 0) {
      return undefined;
    }
    for (const ticket of tickets) {
      ticket.state = { kind: 'asked', askedAt: now };
    }
    this._spareAskedMs = spare > 0 ? now.steadyMs : this._spareAskedMs;
    const units = tickets.map((ticket) => ticket.units);
    return { ask: { tenant: this._tenant, units, ...(spare > 0 && { spare }) }, tickets };
  }

  /** Applies the leader's answer to requests that were asked for at a time. */
  public applyAnswer(
    { decisions, spare = 0 }: TenantAnswer,
    tickets: readonly QuotaTicket[],
    askedAt: Instant,
    { isSettling = false, now }: { readonly isSettling?: boolean | undefined; readonly now: Instant },
  ): void {
    this._addGrant(spare, now);
    this._pool.add(this._tenant, spare, askedAt);
    this._context.metrics.countUnits('spare', spare);
    decisions.forEach((decision, index) => {
      const ticket = tickets[index];
      if (ticket === undefined) {
        return;
      }
      if ('delayMs' in decision) {
        this._grant(ticket, decision.delayMs, askedAt, now);
      } else if (this._isWaitingSince(ticket, askedAt)) {
        this._refuse(ticket, decision.waitMs, isSettling, now.steadyMs);
      }
    });
  }

  /** Marks all requests as not asked for, when another leader is followed. */
  public forgetAsks(): void {
    for (const ticket of this._waiting) {
      if (ticket.state.kind === 'asked' || ticket.state.kind === 'held') {
        ticket.state = { kind: 'unasked' };
      }
    }
  }

  /** Returns what was used without a leader since the last call. */
  public takeUsedAlone(): number {
    const units = this._usedAlone;
    this._usedAlone = 0;
    return units;
  }

  /** Serves requests that are due. `isAlone` is true while this daemon has no leader. */
  public step(isAlone: boolean, now: Instant): void {
    this._followSource(isAlone, now);
    for (const ticket of this._waiting) {
      this._stepTicket(ticket, isAlone, now);
    }
    this._servePool(now);
    if (isAlone) {
      this._serveAlone(now);
    }
  }

  /** Time of the next delayed or held request, steady milliseconds; infinite without one. */
  public nextDueMs(): number {
    let dueMs = Number.POSITIVE_INFINITY;
    for (const { state } of this._waiting) {
      if (state.kind === 'delayed' || state.kind === 'held') {
        dueMs = Math.min(dueMs, state.kind === 'delayed' ? state.readyMs : state.untilMs);
      }
    }
    return dueMs;
  }

  private _grant(ticket: QuotaTicket, delayMs: number, askedAt: Instant, now: Instant): void {
    this._addGrant(ticket.units, now);
    this._context.metrics.countUnits('asked', ticket.units);
    if (!this._isWaitingSince(ticket, askedAt)) {
      this._pool.add(this._tenant, ticket.units, askedAt);
      return;
    }
    if (delayMs > 0 && ticket.timeLeftMs(now.steadyMs) <= delayMs + serviceReserveMs) {
      this._refuse(ticket, delayMs, false, now.steadyMs);
      return;
    }
    ticket.state = { kind: 'delayed', askedAt, delayMs, readyMs: now.steadyMs + delayMs };
    this._stepTicket(ticket, false, now);
  }

  private _refuse(ticket: QuotaTicket, waitMs: number, isSettling: boolean, nowMs: number): void {
    if (isSettling && ticket.timeLeftMs(nowMs) > waitMs + serviceReserveMs) {
      ticket.state = { kind: 'held', untilMs: nowMs + Math.min(waitMs, longestHoldMs) };
      return;
    }
    this._remove(ticket);
    this._context.metrics.count('refused');
    ticket.finish({ kind: 'refused', reason: refusals.overQuota, retryAfterMs: waitMs });
  }

  private _stepTicket(ticket: QuotaTicket, isAlone: boolean, now: Instant): void {
    const { state } = ticket;
    if (state.kind === 'delayed') {
      if (!isPermitValid(state.askedAt, creditLifetimeMs + state.delayMs, now)) {
        ticket.state = { kind: 'unasked' };
      } else if (now.steadyMs >= state.readyMs) {
        this._serve(ticket, 'asked');
      }
    } else if (state.kind === 'held' && now.steadyMs >= state.untilMs) {
      ticket.state = { kind: 'unasked' };
    } else if (state.kind === 'asked' && !isAlone && now.steadyMs - state.askedAt.steadyMs >= answerTimeoutMs) {
      ticket.state = { kind: 'unasked' };
    }
  }

  /** Serves requests that are not asked for with credit of requests whose callers have left. */
  private _servePool(now: Instant): void {
    for (const ticket of this._waiting) {
      const { kind } = ticket.state;
      if ((kind === 'unasked' || kind === 'held') && this._pool.tryTake(this._tenant, now, ticket.units)) {
        this._serve(ticket, 'credit');
      }
    }
  }

  private _serve(ticket: QuotaTicket, event: 'credit' | 'asked' | 'leaderless'): void {
    this._remove(ticket);
    this._context.metrics.count(event);
    ticket.finish({ kind: 'granted' });
  }

  /** Serves waiting requests at the rate of the recent grants, for a short time, and of a part of a small share. */
  private _serveAlone(now: Instant): void {
    const perSecond = this._alonePerSecond(now);
    for (const ticket of this._waiting) {
      const spacingMs = (ticket.units * 1_000) / perSecond;
      if (!this._context.leaderlessPermits.tryTake(this._tenant, spacingMs, now.steadyMs)) {
        return;
      }
      this._usedAlone += ticket.units;
      this._context.metrics.countUnits('leaderless', ticket.units);
      this._serve(ticket, 'leaderless');
    }
  }

  private _alonePerSecond(now: Instant): number {
    const share = leaderlessRate(this._quota, this._context.daemonCount());
    const alone = this._alone;
    return alone !== undefined && isPermitValid(alone.since, ownRateMs, now) ? alone.ownPerSecond + share : share;
  }

  private _followSource(isAlone: boolean, now: Instant): void {
    if (!isAlone) {
      this._alone = undefined;
    } else if (this._alone === undefined) {
      const lifetimeMs = ownRateWindowMs + silenceMs;
      const recent = this._grants.filter(({ grantedAt }) => isPermitValid(grantedAt, lifetimeMs, now));
      const units = recent.reduce((sum, grant) => sum + grant.units, 0);
      // Grants of the burst count as well, so the rate measured may be above that of the quota.
      const ownPerSecond = Math.min((units * 1_000) / ownRateWindowMs, this._quota.perSecond);
      this._alone = { since: now, ownPerSecond };
      this.forgetAsks();
    }
  }

  private _addGrant(units: number, now: Instant): void {
    if (units > 0) {
      const lifetimeMs = ownRateWindowMs + silenceMs;
      const recent = this._grants.filter(({ grantedAt }) => isPermitValid(grantedAt, lifetimeMs, now));
      this._grants = [...recent, { grantedAt: now, units }];
    }
  }

  /** Credit to ask for in advance, units. A daemon with few requests would let it expire, so it asks for none. */
  private _spareWanted(now: Instant): number {
    const nowMs = now.steadyMs;
    const requestsPerSecond = this._recentRequests.perSecond(nowMs);
    const isPending = nowMs - this._spareAskedMs < spareMs / 2;
    if (isPending || (requestsPerSecond * spareMs) / 1_000 < minimumSpareRequests) {
      return 0;
    }
    const wanted = (this._recentUnits.perSecond(nowMs) * spareMs) / 1_000;
    const held = this._pool.available(this._tenant, now);
    return held < wanted / 2 ? Math.ceil(wanted - held) : 0;
  }

  private _isWaitingSince(ticket: QuotaTicket, askedAt: Instant): boolean {
    return this._waiting.has(ticket) && ticket.state.kind === 'asked' && ticket.state.askedAt === askedAt;
  }

  private _remove(ticket: QuotaTicket): boolean {
    const isRemoved = this._waiting.delete(ticket);
    this._waitingUnits -= isRemoved ? ticket.units : 0;
    return isRemoved;
  }
}
