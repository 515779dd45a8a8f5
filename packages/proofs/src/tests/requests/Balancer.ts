import * as harness from '../../harness/index.js';

/** Interval between readiness checks, milliseconds; far shorter than a daemon's stop announcement. */
const pollIntervalMs = 100;

/** Distributes requests round-robin over the daemons that report readiness, as the platform's load balancer does. */
export class Balancer implements AsyncDisposable {
  private readonly _ready = new Set<harness.DaemonHandle>();
  private readonly _polling: Promise<void>;
  private _stopped = false;
  private _next = 0;

  public constructor(private readonly _cluster: harness.Cluster) {
    for (const daemon of _cluster.daemons) {
      this._ready.add(daemon);
    }
    this._polling = this._pollReadiness();
  }

  /** Base URL of the next daemon in turn. */
  public next(): string {
    const ready = this._cluster.daemons.filter((daemon) => this._ready.has(daemon));
    const candidates = ready.length > 0 ? ready : this._cluster.daemons;
    this._next += 1;
    return candidates[this._next % candidates.length]?.callersUrl ?? '';
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    await this._polling;
  }

  private async _pollReadiness(): Promise<void> {
    while (!this._stopped) {
      await Promise.all(
        this._cluster.daemons.map(async (daemon) => {
          if (await daemon.isReady()) {
            this._ready.add(daemon);
          } else {
            this._ready.delete(daemon);
          }
        }),
      );
      await harness.delay(pollIntervalMs);
    }
  }
}
