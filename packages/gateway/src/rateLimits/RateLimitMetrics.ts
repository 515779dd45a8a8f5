import * as metrics from 'prom-client';

/** What happened to a request, or to the permits, of replicas with a rate limit. */
export type RateLimitEvent = 'sent';

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
