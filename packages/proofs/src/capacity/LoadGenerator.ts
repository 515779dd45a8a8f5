import { bearerKey, type Cluster } from '../harness/index.js';
import type { RunShape } from './Types.js';

/** Results of a generator's requests so far. */
export interface LoadCounts {
  readonly completed: number;
  readonly failed: number;
  readonly answerMs: readonly number[];
}

/** Open-loop load: sends requests, edits and claimed calls at mean rates without waiting for earlier answers. */
export class LoadGenerator {
  private readonly _timers: NodeJS.Timeout[] = [];
  private readonly _answerMs: number[] = [];
  private readonly _versions = new Map<string, number>();
  private _completed = 0;
  private _failed = 0;
  private _sent = 0;

  public constructor(
    private readonly _cluster: Cluster,
    private readonly _shape: RunShape,
  ) {
    this._sendAtRate(_shape.requestsPerSecond, () => this._complete());
    this._sendAtRate(_shape.editsPerMinute / 60, () => this._edit());
    this._sendAtRate(_shape.claimsPerSecond, () => this._claim());
  }

  /** Counts so far. */
  public get counts(): LoadCounts {
    return { completed: this._completed, failed: this._failed, answerMs: [...this._answerMs] };
  }

  /** Stops sending. */
  public stop(): void {
    for (const timer of this._timers) {
      clearInterval(timer);
    }
  }

  private _sendAtRate(perSecond: number, run: () => Promise<boolean>): void {
    if (perSecond <= 0) {
      return;
    }
    let dueMs = performance.now();
    const tick = (): void => {
      // Poisson arrivals, as from independent callers. Even gaps would keep a target's load and its digest constant.
      for (; dueMs < performance.now(); dueMs += (-Math.log(1 - Math.random()) * 1000) / perSecond) {
        void run().then((done) => {
          this._completed += done ? 1 : 0;
          this._failed += done ? 0 : 1;
        });
      }
    };
    this._timers.push(setInterval(tick, 5));
  }

  private async _complete(): Promise<boolean> {
    const { daemons, loadedModels, tokensPerRequest } = this._shape;
    // Models are chosen at random, so that every daemon routes to every loaded model.
    const index = this._sent++;
    const daemon = this._cluster.daemon(index % daemons);
    const model = `m${Math.floor(Math.random() * loadedModels)}`;
    const call = { partner: 'solano', model, stream: true, maximumTokens: tokensPerRequest };
    const result = await this._cluster.callers.complete(daemon.callersUrl, call);
    return result.outcome === 'complete';
  }

  private async _edit(): Promise<boolean> {
    const index = this._sent++;
    const key = `solano/exceptions/m${index % 40}/keepAliveSeconds`;
    const startedMs = performance.now();
    const operator = this._cluster.operator('solano');
    const answer = await operator.edit(key, 300 + index, this._versions.get(key) ?? null, 'capacity run');
    this._answerMs.push(performance.now() - startedMs);
    const version = (answer.body as { readonly version?: number } | undefined)?.version;
    if (answer.status === 200 && version !== undefined) {
      this._versions.set(key, version);
    }
    return answer.status === 200;
  }

  private async _claim(): Promise<boolean> {
    const index = this._sent++;
    const daemon = this._cluster.daemon(index % this._shape.daemons);
    const startedMs = performance.now();
    const response = await fetch(`${daemon.callersUrl}/services/booking/pay`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${bearerKey('caller', 'solano')}`,
        'idempotency-key': `capacity-${process.pid}-${index}`,
      },
      body: '{"amount":1}',
    }).catch(() => undefined);
    await response?.text();
    this._answerMs.push(performance.now() - startedMs);
    return response?.status === 200;
  }
}
