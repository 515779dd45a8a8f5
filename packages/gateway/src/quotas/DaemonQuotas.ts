import { LeaderlessPermits } from '../rateLimits/LeaderlessPermits.js';
import type { RateLimitContext } from '../rateLimits/ReplicaRateLimits.js';
import type { Instant, Tenant, TenantQuota } from '../Types.js';
import type { QuotaMetrics } from './QuotaMetrics.js';
import type { QuotaTicket } from './QuotaTicket.js';
import { type CreditContext, TenantCredit } from './TenantCredit.js';
import type { QuotaAnswer, QuotaAsk, TenantAsk } from './Types.js';

/** Time for which a permit that a daemon without a leader issues to itself is valid, milliseconds. */
const leaderlessLifetimeMs = 1_500;
/** Time after which an answer is no longer expected, milliseconds. */
const askLifetimeMs = 2_000;
/** Time without requests after which nothing is kept of a tenant, milliseconds. */
const idleMs = 60_000;

/** A tenant whose quota is known. */
export type LimitedTenant = Pick<Tenant, 'name'> & { readonly quota: TenantQuota };

/** A message to the leader that is not answered. */
interface OpenAsk {
  /** Time of the message. The credit that answers it expires by this time. */
  readonly askedAt: Instant;
  readonly ticketsByTenant: ReadonlyMap<string, readonly QuotaTicket[]>;
}

/** The quotas of tenants at one daemon: the requests that wait for them, and the credits that the leader granted. */
export class DaemonQuotas {
  private readonly _credits = new Map<string, TenantCredit>();
  private readonly _openAsks = new Map<number, OpenAsk>();
  private readonly _leaderlessPermits: LeaderlessPermits;
  private readonly _creditContext: CreditContext;
  private _sequence = 0;
  private _isAlone = true;

  public constructor(
    private readonly _daemon: string,
    /** Start of this process. */
    private readonly _incarnation: number,
    private readonly _context: RateLimitContext,
    private readonly _metrics: QuotaMetrics,
  ) {
    this._leaderlessPermits = new LeaderlessPermits(() => _context.random(), leaderlessLifetimeMs);
    this._creditContext = {
      metrics: _metrics,
      leaderlessPermits: this._leaderlessPermits,
      daemonCount: () => _context.daemonCount(),
    };
  }

  /** Number of tenants with requests in the last time. */
  public get size(): number {
    return this._credits.size;
  }

  /** Decides on a request of a tenant. Its ticket has a result unless it has to wait. */
  public enter({ name, quota }: LimitedTenant, ticket: QuotaTicket, now: Instant): void {
    const credit = this._credits.get(name) ?? new TenantCredit(name, quota, this._creditContext);
    this._credits.set(name, credit);
    credit.setQuota(quota);
    credit.enter(ticket, now);
    if (this._isWithoutLeader()) {
      this.step(now);
    }
  }

  /** Forgets a request whose caller has left. */
  public withdraw(tenant: string, ticket: QuotaTicket): void {
    this._credits.get(tenant)?.withdraw(ticket);
  }

  /** True if a message to the leader is needed now. */
  public needsAsk(now: Instant): boolean {
    if (this._isWithoutLeader()) {
      return false;
    }
    return [...this._credits.values()].some((credit) => credit.needsAsk(now) || credit.usedAlone > 0);
  }

  /** Returns the message to the leader; undefined if none is needed. */
  public takeAsk(now: Instant): QuotaAsk | undefined {
    if (this._isWithoutLeader()) {
      return undefined;
    }
    const tenants: TenantAsk[] = [];
    const ticketsByTenant = new Map<string, readonly QuotaTicket[]>();
    const used = this._takeUsedAlone();
    for (const [name, credit] of this._credits) {
      const part = credit.takeAsk(now);
      if (part !== undefined) {
        tenants.push(part.ask);
        ticketsByTenant.set(name, part.tickets);
      }
    }
    const hasUsed = Object.keys(used).length > 0;
    if (tenants.length === 0 && !hasUsed) {
      return undefined;
    }
    this._sequence += 1;
    this._openAsks.set(this._sequence, { askedAt: now, ticketsByTenant });
    this._metrics.countMessage();
    return {
      daemon: this._daemon,
      incarnation: this._incarnation,
      sequence: this._sequence,
      tenants,
      ...(hasUsed && { usedAlone: used }),
    };
  }

  /** Applies an answer of the leader that this daemon follows. One that was received before changes nothing. */
  public applyAnswer(answer: QuotaAnswer, now: Instant): void {
    const open = this._openAsks.get(answer.sequence);
    if (open === undefined || answer.incarnation !== this._incarnation) {
      return;
    }
    this._openAsks.delete(answer.sequence);
    for (const part of answer.tenants) {
      const tickets = open.ticketsByTenant.get(part.tenant) ?? [];
      this._credits.get(part.tenant)?.applyAnswer(part, tickets, open.askedAt, {
        isSettling: answer.isSettling,
        now,
      });
    }
  }

  /** Asks again for all waiting requests, when another leader is followed. Answers of the former one are ignored. */
  public leaderChanged(): void {
    this._openAsks.clear();
    for (const credit of this._credits.values()) {
      credit.forgetAsks();
    }
  }

  /** Serves requests that are due. Called at `nextDueMs` and several times a second. */
  public step(now: Instant): void {
    const isAlone = this._isWithoutLeader();
    if (this._isAlone && !isAlone) {
      this._leaderlessPermits.clear();
    }
    this._isAlone = isAlone;
    for (const [name, credit] of this._credits) {
      credit.step(isAlone, now);
      if (credit.waitingCount === 0 && credit.usedAlone === 0 && now.steadyMs - credit.lastUseMs >= idleMs) {
        this._credits.delete(name);
      }
    }
    for (const [sequence, { askedAt }] of this._openAsks) {
      if (now.steadyMs - askedAt.steadyMs >= askLifetimeMs) {
        this._openAsks.delete(sequence);
      }
    }
  }

  /** Time at which `step` has to be called, steady milliseconds; infinite if no request waits for a time. */
  public nextDueMs(): number {
    return [...this._credits.values()].reduce(
      (dueMs, credit) => Math.min(dueMs, credit.nextDueMs()),
      Number.POSITIVE_INFINITY,
    );
  }

  /** Units used without a leader by tenant. They are sent once: a repeated message could be charged twice. */
  private _takeUsedAlone(): Readonly<Record<string, number>> {
    const used: Record<string, number> = {};
    for (const [name, credit] of this._credits) {
      if (credit.usedAlone > 0) {
        used[name] = credit.takeUsedAlone();
      }
    }
    return used;
  }

  private _isWithoutLeader(): boolean {
    return this._context.permitSource() === 'none';
  }
}
