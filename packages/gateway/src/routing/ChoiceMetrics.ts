import * as metrics from 'prom-client';
import type { Candidate } from './chooseReplica.js';

/** Bucket bounds of the age of reports, seconds. */
const ageBuckets = [0.05, 0.1, 0.25, 0.5, 1, 2, 5];

/** Metrics of the choice among replicas. Their labels do not name replicas, so that their number is bounded. */
export class ChoiceMetrics {
  private readonly _choices: metrics.Counter<'slots'>;
  private readonly _connections: metrics.Counter<'connection'>;
  private readonly _reportAges: metrics.Histogram;
  private readonly _absentModels: metrics.Counter;
  private readonly _utilisation: metrics.Gauge<'statistic'>;

  public constructor(registry: metrics.Registry) {
    const registers = [registry];
    this._choices = new metrics.Counter({
      name: 'jayhaven_replica_choices_total',
      help: 'Sends to a replica, by whether it was expected to have a free slot.',
      labelNames: ['slots'],
      registers,
    });
    this._connections = new metrics.Counter({
      name: 'jayhaven_replica_connections_total',
      help: 'Requests written to replicas, on a new or a kept connection.',
      labelNames: ['connection'],
      registers,
    });
    this._reportAges = new metrics.Histogram({
      name: 'jayhaven_replica_report_age_seconds',
      help: 'Age of the report of the load of a chosen replica.',
      buckets: ageBuckets,
      registers,
    });
    this._absentModels = new metrics.Counter({
      name: 'jayhaven_absent_models_total',
      help: 'Models that a replica has answered not to hold, in spite of its record.',
      registers,
    });
    this._utilisation = new metrics.Gauge({
      name: 'jayhaven_replica_utilisation',
      help: 'Requests per slot as expected by this daemon: mean and highest of the replicas.',
      labelNames: ['statistic'],
      registers,
    });
  }

  public recordChoice({ running, replica, reportAgeMs }: Candidate): void {
    this._choices.inc({ slots: running < replica.slots ? 'free' : 'full' });
    if (Number.isFinite(reportAgeMs)) {
      this._reportAges.observe(reportAgeMs / 1000);
    }
  }

  public recordConnection(isKept: boolean): void {
    this._connections.inc({ connection: isKept ? 'kept' : 'new' });
  }

  public recordAbsentModel(): void {
    this._absentModels.inc();
  }

  /** Sets the utilisation of the replicas that have slots. */
  public setUtilisation(candidates: readonly Pick<Candidate, 'running' | 'replica'>[]): void {
    let sum = 0;
    let highest = 0;
    let count = 0;
    for (const { running, replica } of candidates) {
      if (replica.slots > 0) {
        const utilisation = running / replica.slots;
        sum += utilisation;
        highest = Math.max(highest, utilisation);
        count += 1;
      }
    }
    this._utilisation.set({ statistic: 'mean' }, count === 0 ? 0 : sum / count);
    this._utilisation.set({ statistic: 'highest' }, highest);
  }
}
