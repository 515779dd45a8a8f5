import * as metrics from 'prom-client';
import type { WaitingRequests } from './WaitingRequests.js';

/**
 * What a request waits for: its model, a permit of a replica with a rate limit, a trial of its prompt, or a slot of full
 * replicas.
 */
export type WaitReason = 'model' | 'permit' | 'trial' | 'slot';

/** What a refused caller returns to. `late`: no retry can be served before its deadline. */
export type ReturnKind = 'model' | 'queue' | 'late';

/** Metrics of waits, refusals and promised returns. The labels are constants of the code, so that their number is bounded. */
export class WaitingMetrics {
  private readonly _waits: metrics.Counter<'reason'>;
  private readonly _refusals: metrics.Counter<'reason'>;
  private readonly _returns: metrics.Counter<'kind'>;

  public constructor(registry: metrics.Registry, waitingRequests: Pick<WaitingRequests, 'size' | 'returns'>) {
    const registers = [registry];
    this._waits = new metrics.Counter({
      name: 'jayhaven_waits_total',
      help: 'Requests that began to wait, by what they wait for.',
      labelNames: ['reason'],
      registers,
    });
    this._refusals = new metrics.Counter({
      name: 'jayhaven_refusals_total',
      help: 'Requests refused before they were sent, by reason.',
      labelNames: ['reason'],
      registers,
    });
    this._returns = new metrics.Counter({
      name: 'jayhaven_returns_promised_total',
      help: 'Refused callers that got a time to return, by what they return to.',
      labelNames: ['kind'],
      registers,
    });
    createGauge(
      registry,
      'jayhaven_waiting_requests',
      'Requests that wait at this daemon.',
      () => waitingRequests.size,
    );
    createGauge(registry, 'jayhaven_returns_open', 'Refused callers that are expected to return.', () => {
      return waitingRequests.returns.size;
    });
  }

  public countWait(reason: WaitReason): void {
    this._waits.inc({ reason });
  }

  /** Counts a refusal. `reason` is one of the constant texts of the dispatch decision. */
  public countRefusal(reason: string): void {
    this._refusals.inc({ reason });
  }

  public countReturn(kind: ReturnKind): void {
    this._returns.inc({ kind });
  }
}

function createGauge(registry: metrics.Registry, name: string, help: string, value: () => number): void {
  new metrics.Gauge({
    name,
    help,
    registers: [registry],
    collect() {
      this.set(value());
    },
  });
}
