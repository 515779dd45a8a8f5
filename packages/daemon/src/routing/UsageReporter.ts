import type { OwnerClient, UsageEntry } from '../Types.js';
import type { ResolvedModel } from './Types.js';

const reportIntervalMs = 1_000;

interface ModelUsage {
  readonly model: ResolvedModel;
  arrivals: number;
  inFlight: number;
}

/** Counts arrivals and requests in flight per model and reports the models in use to the owner once a second. */
export class UsageReporter implements AsyncDisposable {
  private readonly _usage = new Map<string, ModelUsage>();
  private readonly _timer: NodeJS.Timeout;

  public constructor(private readonly _client: OwnerClient) {
    this._timer = setInterval(() => {
      this._report();
    }, reportIntervalMs);
  }

  /** Counts an arrival. The returned function counts the end of the request. */
  public countArrival(model: ResolvedModel): () => void {
    const usage = this._usage.get(model.queue) ?? { model, arrivals: 0, inFlight: 0 };
    this._usage.set(model.queue, usage);
    usage.arrivals += 1;
    usage.inFlight += 1;
    return () => {
      usage.inFlight -= 1;
    };
  }

  public [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this._timer);
    return Promise.resolve();
  }

  /** Reports the usage of all models. A model that became idle is reported once more, with nothing in flight. */
  private _report(): void {
    if (this._usage.size === 0) {
      return;
    }
    const entries: UsageEntry[] = [];
    for (const [key, usage] of this._usage) {
      const { partner, model, version } = usage.model.settings;
      const adapter = usage.model.adapter;
      const { arrivals, inFlight } = usage;
      entries.push({ partner, model, version, ...(adapter === undefined ? {} : { adapter }), arrivals, inFlight });
      usage.arrivals = 0;
      if (arrivals === 0 && inFlight === 0) {
        this._usage.delete(key);
      }
    }
    this._client.reportUsage(entries);
  }
}
