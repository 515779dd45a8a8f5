import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import {
  EngineClient,
  type EngineFailure,
  type EngineOrder,
  type EngineReport,
  type OrderResponse,
} from '../contracts/index.js';
import { pause } from '../pause.js';
import type { Replica } from '../Types.js';
import { grantedRate } from './permitRates.js';

/** Share of a replica's permits that the leader's reads of its reports may use; the rest is for callers and orders. */
const reportShare = 0.25;
const noPermit: EngineFailure = { message: 'no permit within the rate limit of the replica', mayHaveArrived: false };

/** Source of the permits for requests of the leader itself. */
export interface LeaderPermits {
  /** Limit in force of a replica, requests per second; undefined without one. */
  perSecond(replicaId: string): number | undefined;
  /** Waits for a permit; false if none came in time, or if this daemon no longer leads. */
  acquire(replicaId: string): Promise<boolean>;
}

/**
 * Sends orders and reads reports within the rate limits of the replicas. A replica counts them like the requests of
 * callers, and without a limit the leader would poll a replica several times a second.
 */
export class RateLimitedEngineClient extends EngineClient {
  /** Earliest times of the next reads of reports, by replica id, steady milliseconds. */
  private readonly _nextReportMs = new Map<string, number>();

  public constructor(
    private readonly _engines: EngineClient,
    private readonly _permits: LeaderPermits,
    private readonly _clock: Clock,
  ) {
    super();
  }

  public async sendOrder(
    replica: Replica,
    order: EngineOrder,
    mayWrite: () => boolean,
  ): Promise<common.Outcome<OrderResponse, EngineFailure>> {
    return (await this._permits.acquire(replica.id))
      ? this._engines.sendOrder(replica, order, mayWrite)
      : common.fail(noPermit);
  }

  public async readReport(replica: Replica): Promise<common.Outcome<EngineReport, EngineFailure>> {
    await this._awaitNextReport(replica.id);
    return (await this._permits.acquire(replica.id)) ? this._engines.readReport(replica) : common.fail(noPermit);
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._engines[Symbol.asyncDispose]();
  }

  private async _awaitNextReport(replicaId: string): Promise<void> {
    const limit = this._permits.perSecond(replicaId);
    if (limit === undefined) {
      this._nextReportMs.delete(replicaId);
      return;
    }
    const nowMs = this._clock.now().steadyMs;
    const startMs = Math.max(this._nextReportMs.get(replicaId) ?? nowMs, nowMs);
    this._nextReportMs.set(replicaId, startMs + 1_000 / (grantedRate(limit).perSecond * reportShare));
    if (startMs > nowMs) {
      await pause(startMs - nowMs);
    }
  }
}
