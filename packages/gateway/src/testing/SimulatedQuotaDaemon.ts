import * as metrics from 'prom-client';
import { DaemonQuotas } from '../quotas/DaemonQuotas.js';
import { QuotaAllocator } from '../quotas/QuotaAllocator.js';
import { QuotaMetrics } from '../quotas/QuotaMetrics.js';
import type { QuotaTicket } from '../quotas/QuotaTicket.js';
import type { PermitSource } from '../rateLimits/ReplicaRateLimits.js';
import type { Instant } from '../Types.js';
import type { QuotaSimulationOptions } from './quotaSimulationOptions.js';
import { silentLogger } from './SilentLogger.js';

/** Time without a message after which a daemon considers its leader lost, milliseconds. */
const leaderSilenceMs = 1_200;

/** A request that waits at a simulated daemon. */
export interface SimulatedRequest {
  readonly ticket: QuotaTicket;
  readonly arrivedMs: number;
  readonly isRetry: boolean;
}

/** A daemon of a simulation, with its clocks and its connection to the leader. */
export class SimulatedQuotaDaemon {
  public quotas: DaemonQuotas;
  public allocator: QuotaAllocator;
  public steadyMs: number;
  public suspendedUntilMs = 0;
  public cutUntilMs = 0;
  public leaderTerm: number | undefined;
  public followedTerm: number | undefined;
  public lastLeaderMessageMs = Number.NEGATIVE_INFINITY;
  public lastAskMs = Number.NEGATIVE_INFINITY;
  public lastReportMs = Number.NEGATIVE_INFINITY;
  public requests: SimulatedRequest[] = [];
  /** When the leader last received a message of each daemon that asked, by the leader's steady clock. */
  public readonly receivedMs = new Map<string, number>();
  private _incarnation = 0;

  public constructor(
    public readonly name: string,
    private readonly _options: QuotaSimulationOptions,
    private readonly _trueNowMs: () => number,
  ) {
    this.steadyMs = Math.floor(_options.random() * 1_000_000);
    this.quotas = this._createQuotas();
    this.allocator = new QuotaAllocator(() => _options.quota(this._trueNowMs()), silentLogger);
  }

  public now(): Instant {
    return { steadyMs: this.steadyMs, wallMs: 1_000_000 + this._trueNowMs() };
  }

  public isSuspended(): boolean {
    return this._trueNowMs() < this.suspendedUntilMs;
  }

  public isCut(): boolean {
    return this._trueNowMs() < this.cutUntilMs;
  }

  public restart(): void {
    this.quotas = this._createQuotas();
    this.requests = [];
    this.followedTerm = undefined;
    this.lastLeaderMessageMs = Number.NEGATIVE_INFINITY;
    this.leaderTerm = undefined;
  }

  private _createQuotas(): DaemonQuotas {
    const { daemonCount, random } = this._options;
    const context = {
      permitSource: (): PermitSource => this._source(),
      daemonCount: () => daemonCount,
      random,
    };
    this._incarnation += 1;
    return new DaemonQuotas(this.name, this._incarnation, context, new QuotaMetrics(new metrics.Registry()));
  }

  private _source(): PermitSource {
    if (this.leaderTerm !== undefined) {
      return 'self';
    }
    return this.steadyMs - this.lastLeaderMessageMs < leaderSilenceMs ? 'leader' : 'none';
  }
}
