import * as metrics from 'prom-client';

/**
 * What happened on account of parts that end replicas. `crash`: a replica ended with unanswered requests; `refused`: a
 * request was refused by a block; `requested`: a trial was requested from the leader; `trial`: one was sent.
 */
export type CrashEvent = 'crash' | 'refused' | 'requested' | 'trial';

/** Metrics of suspected and blocked parts. Their labels do not name parts, so that their number is bounded. */
export class CrashMetrics {
  private readonly _parts: metrics.Gauge<'state'>;
  private readonly _events: metrics.Counter<'event'>;

  public constructor(registry: metrics.Registry) {
    const registers = [registry];
    this._parts = new metrics.Gauge({
      name: 'jayhaven_prompt_parts',
      help: 'Suspected parts of prompts, and blocked sets of parts.',
      labelNames: ['state'],
      registers,
    });
    this._events = new metrics.Counter({
      name: 'jayhaven_prompt_part_events_total',
      help: 'Crashes of replicas, and what suspected and blocked parts did to requests, by event.',
      labelNames: ['event'],
      registers,
    });
  }

  public setCounts({ suspected, blocked }: { readonly suspected: number; readonly blocked: number }): void {
    this._parts.set({ state: 'suspected' }, suspected);
    this._parts.set({ state: 'blocked' }, blocked);
  }

  public count(event: CrashEvent): void {
    this._events.inc({ event });
  }
}
