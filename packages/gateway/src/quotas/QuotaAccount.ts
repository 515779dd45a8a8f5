import { TokenBucket } from '../rateLimits/TokenBucket.js';
import type { TenantQuota } from '../Types.js';
import { DecayingRate } from './DecayingRate.js';
import { handoverUnits, ownRateMs, quotaRate, spareRate } from './quotaRates.js';
import type { QuotaDecision } from './Types.js';

/**
 * Longest delay of a granted request, milliseconds. A tenant far below its quota is over it for moments, and its requests
 * wait instead of being refused. A tenant at its quota would make all its requests wait for that long, so the queue is
 * kept short.
 */
const longestDelayMs = { belowQuota: 1_500, atQuota: 100 } as const;
/** Share of the rate from which a tenant counts as at its quota. */
const atQuotaShare = 0.75;
const recentUseMs = 4_000;
/** Spare credit is granted while the bucket is filled to this share, so that it takes nothing from waiting requests. */
const spareFill = 0.5;
/** Longest wait that a refused request is given because of earlier ones, milliseconds. */
const longestPromiseMs = 8_000;
/** Longest time of use without a leader that is assumed of a daemon, milliseconds. */
const assumedMs = ownRateMs;

/** What a daemon used, as the leader knows it. */
interface DaemonUse {
  readonly rate: DecayingRate;
  lastGrantMs: number;
  /** Time since when the daemon has been silent; undefined while it sends messages. */
  silentSinceMs?: number | undefined;
  /** Units that were charged for this time. */
  assumed: number;
}

/** One tenant's quota at the leader: a token bucket, from which the requests of all daemons are granted. */
export class QuotaAccount {
  private readonly _bucket: TokenBucket;
  private readonly _spareBucket: TokenBucket;
  private readonly _recent = new DecayingRate(recentUseMs);
  private readonly _uses = new Map<string, DaemonUse>();
  /** Units of refused requests whose time to come back has not passed. */
  private _promised = 0;
  private _promisedMs: number;
  /** Units used without a leader before this term that are not charged. */
  private _handoverUnits: number;
  private _lastRefusalMs = Number.NEGATIVE_INFINITY;

  public constructor(
    private _quota: TenantQuota,
    nowMs: number,
  ) {
    this._bucket = new TokenBucket(nowMs);
    this._spareBucket = new TokenBucket(nowMs);
    this._promisedMs = nowMs;
    this._handoverUnits = handoverUnits(_quota);
  }

  /** Time of the last refusal, steady milliseconds. */
  public get lastRefusalMs(): number {
    return this._lastRefusalMs;
  }

  /** Applies a changed quota. Units that accumulated beyond a lower burst are lost. */
  public setQuota(quota: TenantQuota): void {
    this._quota = quota;
  }

  /**
   * Decides on a request of a daemon. Its units are taken at once, also those that accrue during its delay. Soon after the
   * term began (`isSettling`), requests that are not granted ask again, so nothing is promised to them.
   */
  public decide(daemon: string, units: number, isSettling: boolean, nowMs: number): QuotaDecision {
    const rate = quotaRate(this._quota);
    this._bucket.level(rate, nowMs);
    const delayMs = this._bucket.timeToLevelMs(Math.min(units, rate.capacity), rate);
    const isAtQuota = this._recent.perSecond(nowMs) >= rate.perSecond * atQuotaShare;
    if (delayMs <= (isAtQuota ? longestDelayMs.atQuota : longestDelayMs.belowQuota)) {
      this._take(daemon, units, nowMs);
      return { delayMs: Math.ceil(delayMs) };
    }
    this._lastRefusalMs = nowMs;
    return { waitMs: isSettling ? Math.ceil(delayMs) : this._promise(units, delayMs, nowMs) };
  }

  /** Grants credit for requests that a daemon expects, as far as the quota is far from used up. Returns the units. */
  public grantSpare(daemon: string, units: number, nowMs: number): number {
    const rate = quotaRate(this._quota);
    const unused = this._bucket.level(rate, nowMs) - rate.capacity * spareFill;
    const spare = this._spareBucket.available(spareRate(this._quota), nowMs);
    const granted = Math.floor(Math.max(Math.min(units, unused, spare), 0));
    this._spareBucket.take(granted);
    this._take(daemon, granted, nowMs);
    return granted;
  }

  /** Charges what a daemon used without a leader, which may have been in the handover before this term. */
  public charge(units: number, isAfterHandover: boolean): void {
    const uncharged = isAfterHandover ? Math.min(this._handoverUnits, units) : 0;
    this._handoverUnits -= uncharged;
    this._bucket.take(units - uncharged);
  }

  /** Returns what was charged for a daemon by assumption. */
  public refundAssumed(daemon: string): void {
    const use = this._uses.get(daemon);
    if (use !== undefined) {
      this._bucket.take(-use.assumed);
      use.assumed = 0;
    }
  }

  /**
   * Charges what daemons that are silent may have used since the last call. A silent daemon may have been cut off and
   * continue at the rate of its recent grants, while this leader grants all of the quota to others.
   */
  public assume(isSilent: (daemon: string) => boolean, nowMs: number): void {
    for (const [daemon, use] of this._uses) {
      if (!isSilent(daemon)) {
        use.silentSinceMs = undefined;
        continue;
      }
      use.silentSinceMs ??= nowMs;
      const ageMs = Math.min(nowMs - use.silentSinceMs, assumedMs);
      const total = (use.rate.perSecond(use.lastGrantMs) * ageMs) / 1_000;
      this._bucket.take(Math.max(total - use.assumed, 0));
      use.assumed = Math.max(total, use.assumed);
    }
  }

  /** Removes daemons that no longer use the tenant; true if none is left and nothing of the quota is used up. */
  public expire(nowMs: number): boolean {
    for (const [daemon, { rate }] of this._uses) {
      if ((rate.perSecond(nowMs) * recentUseMs) / 1_000 < 1) {
        this._uses.delete(daemon);
      }
    }
    const rate = quotaRate(this._quota);
    return this._uses.size === 0 && this._bucket.level(rate, nowMs) >= rate.capacity;
  }

  private _take(daemon: string, units: number, nowMs: number): void {
    this._bucket.take(units);
    this._recent.add(units, nowMs);
    const use = this._uses.get(daemon) ?? { rate: new DecayingRate(recentUseMs), lastGrantMs: nowMs, assumed: 0 };
    this._uses.set(daemon, use);
    use.rate.add(units, nowMs);
    use.lastGrantMs = nowMs;
  }

  /** Time after which a refused request can be served, after those that were refused before, milliseconds. */
  private _promise(units: number, delayMs: number, nowMs: number): number {
    const { perSecond } = this._quota;
    const passed = ((nowMs - this._promisedMs) * perSecond) / 1_000;
    this._promised = Math.max(this._promised - passed, 0);
    this._promisedMs = nowMs;
    const waitMs = Math.ceil(delayMs + (this._promised * 1_000) / perSecond);
    this._promised = Math.min(this._promised + units, (perSecond * longestPromiseMs) / 1_000);
    return waitMs;
  }
}
