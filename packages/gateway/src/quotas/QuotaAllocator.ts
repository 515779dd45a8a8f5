import type * as common from '@jayhaven/common';
import type { TenantQuota } from '../Types.js';
import { QuotaAccount } from './QuotaAccount.js';
import { fullAfterMs } from './quotaRates.js';
import type { QuotaAnswer, QuotaAsk, TenantAnswer, TenantAsk } from './Types.js';

/**
 * Time after the start of a term in which an empty bucket is no sign of a quota that is used up, milliseconds. The
 * requests of the handover, up to 4 s, wait for units that accrue beside new requests.
 */
const settlingMs = 8_000;
/** Time after the start of a term in which daemons report what they used before it, milliseconds. */
const handoverReportsMs = 4_000;
/** Time without a refusal after which a tenant counts as within its quota again, milliseconds. */
const overQuotaMs = 5_000;
/** Interval at which accounts without use are removed, milliseconds. */
const expiryMs = 1_000;

/** The newest message of a daemon. */
interface LastAsk {
  readonly incarnation: number;
  readonly sequence: number;
}

/** A tenant that is over its quota. */
interface Overuse {
  readonly sinceMs: number;
  refused: number;
}

/** Quota of a tenant in the configuration in force; undefined without one. */
export type QuotaLookup = (tenant: string) => TenantQuota | undefined;

/** Grants the quotas of all tenants to the daemons, at the leader. It answers each message at once and keeps no queue. */
export class QuotaAllocator {
  private readonly _accounts = new Map<string, QuotaAccount>();
  private readonly _lastAsks = new Map<string, LastAsk>();
  /** Daemons that are silent, or were and have not asked since. */
  private readonly _assumedDaemons = new Set<string>();
  private readonly _overuses = new Map<string, Overuse>();
  private _startMs = Number.NEGATIVE_INFINITY;
  private _expiredMs = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly _quotaOf: QuotaLookup,
    private readonly _log: common.Logger,
  ) {}

  /** Forgets all grants, when a term as leader begins. */
  public reset(nowMs: number): void {
    this._accounts.clear();
    this._lastAsks.clear();
    this._assumedDaemons.clear();
    this._overuses.clear();
    this._startMs = nowMs;
  }

  /** Answers a daemon's request for quota; undefined if the message was received before. */
  public answer(ask: QuotaAsk, nowMs: number): QuotaAnswer | undefined {
    const { daemon, incarnation, sequence } = ask;
    const last = this._lastAsks.get(daemon);
    if (last?.incarnation === incarnation && sequence <= last.sequence) {
      return undefined;
    }
    this._lastAsks.set(daemon, { incarnation, sequence });
    if (last === undefined || last.incarnation === incarnation) {
      this._refundAssumed(daemon);
    }
    this._chargeUse(ask, nowMs);
    const isSettling = nowMs - this._startMs < settlingMs;
    const tenants = ask.tenants.map((one) => this._decide(daemon, one, isSettling, nowMs));
    return { sequence, incarnation, ...(isSettling && { isSettling }), tenants };
  }

  /** Charges assumed use of silent daemons, and logs tenants that are within their quotas again. */
  public tick(silentDaemons: ReadonlySet<string>, nowMs: number): void {
    if (silentDaemons.size > 0 || this._assumedDaemons.size > 0) {
      for (const account of this._accounts.values()) {
        account.assume((daemon) => silentDaemons.has(daemon), nowMs);
      }
      for (const daemon of silentDaemons) {
        this._assumedDaemons.add(daemon);
      }
    }
    this._endOveruses(nowMs);
    if (nowMs - this._expiredMs >= expiryMs) {
      this._expiredMs = nowMs;
      this._expire(nowMs);
    }
  }

  private _decide(
    daemon: string,
    { tenant, units, spare }: TenantAsk,
    isSettling: boolean,
    nowMs: number,
  ): TenantAnswer {
    const quota = this._quotaOf(tenant);
    if (quota === undefined) {
      // The configurations of the daemon and of the leader differ for a moment.
      return { tenant, decisions: units.map(() => ({ delayMs: 0 })) };
    }
    const account = this._account(tenant, quota, nowMs);
    const decisions = units.map((one) => account.decide(daemon, one, isSettling, nowMs));
    const refused = decisions.filter((decision) => 'waitMs' in decision).length;
    if (refused > 0 && !isSettling) {
      this._recordRefusals(tenant, quota, refused, nowMs);
    }
    const granted = spare === undefined || refused > 0 ? 0 : account.grantSpare(daemon, spare, nowMs);
    return { tenant, decisions, ...(granted > 0 && { spare: granted }) };
  }

  /**
   * Returns what was charged for a daemon by assumption, as its message states what it used. A daemon that has started
   * anew does not know what it used before.
   */
  private _refundAssumed(daemon: string): void {
    if (this._assumedDaemons.delete(daemon)) {
      for (const account of this._accounts.values()) {
        account.refundAssumed(daemon);
      }
    }
  }

  /** Charges what a daemon used without a leader. */
  private _chargeUse({ usedAlone }: QuotaAsk, nowMs: number): void {
    const isAfterHandover = nowMs - this._startMs < handoverReportsMs;
    for (const [tenant, units] of Object.entries(usedAlone ?? {})) {
      const quota = this._quotaOf(tenant);
      if (quota !== undefined) {
        this._account(tenant, quota, nowMs).charge(units, isAfterHandover);
      }
    }
  }

  private _account(tenant: string, quota: TenantQuota, nowMs: number): QuotaAccount {
    let account = this._accounts.get(tenant);
    if (account === undefined) {
      // The bucket of a tenant without requests is full, but for the time before this term, of which nothing is known.
      const emptyAtMs = Math.max(this._startMs, nowMs - fullAfterMs(quota));
      account = new QuotaAccount(quota, emptyAtMs);
      this._accounts.set(tenant, account);
    }
    account.setQuota(quota);
    return account;
  }

  private _recordRefusals(tenant: string, quota: TenantQuota, refused: number, nowMs: number): void {
    let overuse = this._overuses.get(tenant);
    if (overuse === undefined) {
      overuse = { sinceMs: nowMs, refused: 0 };
      this._overuses.set(tenant, overuse);
      const { unit, perSecond, burst } = quota;
      this._log.warn('Tenant is over its quota.', { tenant, unit, perSecond, burst });
    }
    overuse.refused += refused;
  }

  private _endOveruses(nowMs: number): void {
    for (const [tenant, { sinceMs, refused }] of this._overuses) {
      const lastMs = this._accounts.get(tenant)?.lastRefusalMs ?? Number.NEGATIVE_INFINITY;
      if (nowMs - lastMs >= overQuotaMs) {
        this._overuses.delete(tenant);
        this._log.info('Tenant is within its quota again.', {
          tenant,
          refused,
          lastedMs: Math.round(lastMs - sinceMs),
        });
      }
    }
  }

  private _expire(nowMs: number): void {
    for (const [tenant, account] of this._accounts) {
      if (account.expire(nowMs) && !this._overuses.has(tenant)) {
        this._accounts.delete(tenant);
      }
    }
  }
}
