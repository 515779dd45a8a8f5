import { grantedRate, type PermitRate } from './permitRates.js';
import { TokenBucket } from './TokenBucket.js';
import { type PermitDemand, type PermitWait, spareUrgency } from './Types.js';

/** Tokens that requests sent to other replicas leave for requests that are about to wait. */
const reservedForWaiting = 1;

/** A demand of a daemon. */
interface OpenDemand {
  readonly daemon: string;
  readonly urgency: number;
  /** Time until the first of the requests is late, milliseconds, as of the report. */
  readonly slackMs: number;
  /** Requests without a permit. */
  count: number;
}

/**
 * The requests of all daemons that wait for permits of one replica, and the token bucket of the replica. Only a grant
 * sorts the demands of all daemons: with hundreds of daemons the leader gets thousands of reports a second.
 */
export class PermitQueue {
  private readonly _bucket: TokenBucket;
  private readonly _demands = new Map<string, readonly OpenDemand[]>();
  /** Numbers of waiting requests by urgency. */
  private readonly _counts = new Map<number, number>();
  /** Requests of the leader itself, which get the next tokens. */
  private _reserved = 0;

  public constructor(nowMs: number) {
    this._bucket = new TokenBucket(nowMs);
  }

  /** Replaces the demands of a daemon. */
  public replace(daemon: string, demands: readonly PermitDemand[]): void {
    this.remove(daemon);
    const open = demands.map(({ urgency, count, slackMs }) => ({ daemon, urgency, slackMs, count }));
    this._demands.set(daemon, open);
    for (const { urgency, count } of open) {
      this._addCount(urgency, count);
    }
  }

  /** Removes the demands of a daemon. */
  public remove(daemon: string): void {
    for (const { urgency, count } of this._demands.get(daemon) ?? []) {
      this._addCount(urgency, -count);
    }
    this._demands.delete(daemon);
  }

  /** Grants a daemon the tokens that no request of equal or greater urgency at another daemon waits for. */
  public grantUncontested(daemon: string, limitPerSecond: number, nowMs: number): number {
    const tokens = this._tokens(grantedRate(limitPerSecond), nowMs);
    let granted = 0;
    for (const demand of this._demands.get(daemon) ?? []) {
      const others = this._countUpTo(demand.urgency) - demand.count;
      const reserve = demand.urgency === spareUrgency ? reservedForWaiting : 0;
      granted += this._grant(demand, Math.max(tokens - granted - others - reserve, 0));
    }
    return granted;
  }

  /**
   * Grants the accrued tokens to the most urgent requests, and in turn to daemons with requests of equal urgency, those
   * that are late first. Returns the number of permits for each daemon.
   */
  public grantTokens(limitPerSecond: number, nowMs: number): ReadonlyMap<string, number> {
    const granted = new Map<string, number>();
    let tokens = this._tokens(grantedRate(limitPerSecond), nowMs);
    for (const group of tokens < 1 ? [] : this._groupsByUrgency()) {
      tokens -= group[0]?.urgency === spareUrgency ? reservedForWaiting : 0;
      for (let open = withRequests(group); tokens > 0 && open.length > 0; open = withRequests(open)) {
        for (const demand of open.slice(0, tokens)) {
          tokens -= this._grant(demand, 1);
          granted.set(demand.daemon, (granted.get(demand.daemon) ?? 0) + 1);
        }
      }
    }
    return granted;
  }

  /** Takes a token for a request of the leader itself; false if there is none. */
  public tryTake(limitPerSecond: number, nowMs: number): boolean {
    const hasToken = this._bucket.available(grantedRate(limitPerSecond), nowMs) >= 1;
    this._bucket.take(hasToken ? 1 : 0);
    return hasToken;
  }

  /** Keeps the next token for a request of the leader itself, until the returned function is called. */
  public reserve(): () => void {
    this._reserved += 1;
    return () => {
      this._reserved -= 1;
    };
  }

  /** Expected waits of the requests of a daemon that have no permit. */
  public waitsOf(daemon: string, limitPerSecond: number): readonly PermitWait[] {
    const rate = grantedRate(limitPerSecond);
    return (this._demands.get(daemon) ?? []).map((demand) => {
      const { urgency, count } = demand;
      const waiting = this._counts.get(urgency) ?? 0;
      const moreUrgent = this._countUpTo(urgency) - waiting;
      // Daemons with requests of equal urgency get permits in turn, so one's own are as far apart as its share is small.
      const shares = Math.max(waiting / Math.max(count, 1), 1);
      const firstInMs = this._bucket.timeToTokenMs(this._reserved + moreUrgent + this._rank(demand), rate);
      return { urgency, firstInMs, spacingMs: (shares * 1_000) / rate.perSecond };
    });
  }

  /** Time until all waiting requests have permits, milliseconds. */
  public backlogMs(limitPerSecond: number): number {
    const waiting = this._countUpTo(spareUrgency - 1);
    return waiting === 0 ? 0 : this._bucket.timeToTokenMs(waiting - 1, grantedRate(limitPerSecond));
  }

  private _tokens(rate: PermitRate, nowMs: number): number {
    return Math.max(this._bucket.available(rate, nowMs) - this._reserved, 0);
  }

  /** Number of demands of equal urgency that get a permit before the first request of a demand. */
  private _rank({ daemon, urgency, slackMs }: OpenDemand): number {
    let rank = 0;
    for (const demands of this._demands.values()) {
      for (const one of demands) {
        const isEarlier = one.slackMs < slackMs && one.daemon !== daemon;
        rank += one.urgency === urgency && one.count > 0 && isEarlier ? 1 : 0;
      }
    }
    return rank;
  }

  /** Grants a demand up to `maximum` permits; returns their number. */
  private _grant(demand: OpenDemand, maximum: number): number {
    const granted = Math.min(demand.count, maximum);
    demand.count -= granted;
    this._addCount(demand.urgency, -granted);
    this._bucket.take(granted);
    return granted;
  }

  private _groupsByUrgency(): readonly (readonly OpenDemand[])[] {
    const demands = withRequests([...this._demands.values()].flat());
    const urgencies = [...new Set(demands.map(({ urgency }) => urgency))].sort((first, second) => first - second);
    return urgencies.map((urgency) =>
      demands.filter((demand) => demand.urgency === urgency).sort((first, second) => first.slackMs - second.slackMs),
    );
  }

  private _addCount(urgency: number, count: number): void {
    this._counts.set(urgency, (this._counts.get(urgency) ?? 0) + count);
  }

  /** Number of waiting requests with at least the given urgency. */
  private _countUpTo(urgency: number): number {
    return [...this._counts].reduce((sum, [one, count]) => sum + (one <= urgency ? count : 0), 0);
  }
}

function withRequests(demands: readonly OpenDemand[]): readonly OpenDemand[] {
  return demands.filter(({ count }) => count > 0);
}
