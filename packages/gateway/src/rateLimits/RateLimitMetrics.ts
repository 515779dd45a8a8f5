import * as metrics from 'prom-client';

/**
 * What happened to the requests and permits of replicas with a rate limit. `sent`: a request was sent to one;
 * `granted`: the leader granted a permit; `leaderless`: a request was sent within this daemon's own share, as it hears no
 * leader; `waited`: a request began to wait for a permit; `sentElsewhere`: a request used its second choice.
 */
export type RateLimitEvent = 'sent' | 'granted' | 'leaderless' | 'waited' | 'sentElsewhere';

/** Metrics of the rate limits that replicas state. Their labels do not name replicas, so that their number is bounded. */
export class RateLimitMetrics {
  private readonly _limitedReplicas: metrics.Gauge;
  private readonly _events: metrics.Counter<'event'>;

  public constructor(registry: metrics.Registry) {
    this._limitedReplicas = new metrics.Gauge({
      name: 'jayhaven_rate_limited_replicas',
      help: 'Replicas with a rate limit in force.',
      registers: [registry],
    });
    this._events = new metrics.Counter({
      name: 'jayhaven_rate_limit_events_total',
      help: 'Requests and permits of replicas with a rate limit, by event.',
      labelNames: ['event'],
      registers: [registry],
    });
  }

  public setLimitedReplicas(count: number): void {
    this._limitedReplicas.set(count);
  }

  public count(event: RateLimitEvent, count = 1): void {
    this._events.inc({ event }, count);
  }
}
