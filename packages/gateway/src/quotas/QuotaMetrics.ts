import * as metrics from 'prom-client';

/**
 * How a request of a tenant with a quota was decided. `credit`: by credit at hand; `asked`: by an answer of the leader;
 * `leaderless`: within this daemon's own share, as it has no leader; `refused`: it was over the quota.
 */
export type QuotaEvent = 'credit' | 'asked' | 'leaderless' | 'refused';

/** Metrics of quotas. Their labels do not name tenants, so that their number is bounded. */
export class QuotaMetrics {
  private readonly _events: metrics.Counter<'event'>;
  private readonly _units: metrics.Counter<'source'>;
  private readonly _messages: metrics.Counter;

  public constructor(registry: metrics.Registry) {
    const registers = [registry];
    this._events = new metrics.Counter({
      name: 'jayhaven_quota_requests_total',
      help: 'Requests of tenants with a quota, by how they were decided.',
      labelNames: ['event'],
      registers,
    });
    this._units = new metrics.Counter({
      name: 'jayhaven_quota_units_total',
      help: 'Units of quotas granted to this daemon, for requests or as spare credit, or used without a leader.',
      labelNames: ['source'],
      registers,
    });
    this._messages = new metrics.Counter({
      name: 'jayhaven_quota_messages_total',
      help: 'Messages that asked the leader for quota.',
      registers,
    });
  }

  public count(event: QuotaEvent): void {
    this._events.inc({ event });
  }

  public countUnits(source: 'asked' | 'spare' | 'leaderless', units: number): void {
    this._units.inc({ source }, units);
  }

  public countMessage(): void {
    this._messages.inc();
  }
}
