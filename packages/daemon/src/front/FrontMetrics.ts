import * as prometheus from 'prom-client';

/** Number of distinct outcome labels. Further outcomes are counted as `other`, which bounds the label values. */
const maximumOutcomes = 64;

/** Metrics of the interface for callers. */
export class FrontMetrics {
  public readonly registry = new prometheus.Registry();
  private readonly _outcomes = new Set<string>();
  private readonly _requests = new prometheus.Counter({
    name: 'jayhaven_requests_total',
    help: 'Finished requests of callers by outcome.',
    labelNames: ['partner', 'kind', 'outcome'],
    registers: [this.registry],
  });
  private readonly _duration = new prometheus.Histogram({
    name: 'jayhaven_request_duration_seconds',
    help: 'Time from the arrival of a request to its last byte.',
    labelNames: ['kind'],
    buckets: [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60],
    registers: [this.registry],
  });
  private readonly _retries = new prometheus.Counter({
    name: 'jayhaven_retries_total',
    help: 'Attempts after the first one, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  /** `readGauges` returns the current values of the gauges. */
  public constructor(readGauges: () => { readonly inFlight: number; readonly waiting: number }) {
    const registers = [this.registry];
    new prometheus.Gauge({
      name: 'jayhaven_requests_in_flight',
      help: 'Requests of callers that are not finished.',
      registers,
      collect() {
        this.set(readGauges().inFlight);
      },
    });
    new prometheus.Gauge({
      name: 'jayhaven_requests_waiting',
      help: 'Requests that wait for a usable target.',
      registers,
      collect() {
        this.set(readGauges().waiting);
      },
    });
  }

  /** Counts a finished request. */
  public countFinished(partner: string, kind: string, outcome: string, durationMs: number): void {
    if (this._outcomes.size < maximumOutcomes) {
      this._outcomes.add(outcome);
    }
    this._requests.inc({ partner, kind, outcome: this._outcomes.has(outcome) ? outcome : 'other' });
    this._duration.observe({ kind }, durationMs / 1_000);
  }

  /** Counts a request that was refused before it was handled. */
  public countRefused(type: string): void {
    this._requests.inc({ partner: '', kind: 'refused', outcome: type });
  }

  /** Counts an attempt after the first one. */
  public countRetry(reason: 'notRun' | 'failed' | 'resumed' | 'notConnected'): void {
    this._retries.inc({ reason });
  }
}
