import * as metrics from 'prom-client';

/**
 * Why a request was rejected or ended because of its key. `repeated`: it has several keys; `removed`: a new configuration
 * removed its key before it was sent to a replica; `streamEnded`: the same, and its running stream was ended.
 */
export type KeyRejection = 'missing' | 'unknown' | 'repeated' | 'removed' | 'streamEnded';

/** Metrics of rejected keys. Their labels name neither keys nor tenants, so that their number is bounded. */
export class KeyMetrics {
  private readonly _rejections: metrics.Counter<'reason'>;

  public constructor(registry: metrics.Registry) {
    this._rejections = new metrics.Counter({
      name: 'jayhaven_rejected_keys_total',
      help: 'Requests rejected or ended because of their API key, by reason.',
      labelNames: ['reason'],
      registers: [registry],
    });
  }

  public count(reason: KeyRejection): void {
    this._rejections.inc({ reason });
  }
}
