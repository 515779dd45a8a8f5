import type * as common from '@jayhaven/common';
import type { Replica } from '../Types.js';
import type { RateLimitMetrics } from './RateLimitMetrics.js';
import { RateLimitTable } from './RateLimitTable.js';
import type { RateLimitStatement } from './Types.js';

/** The rate limits of replicas as this daemon knows them. */
export class ReplicaRateLimits {
  private readonly _table = new RateLimitTable();

  public constructor(
    private readonly _metrics: RateLimitMetrics,
    private readonly _log: common.Logger,
  ) {
    this._table.onChanged((statement) => {
      this._logChange(statement);
    });
  }

  /** Limit in force of a replica, requests per second; undefined without one. */
  public perSecond(replicaId: string): number | undefined {
    return this._table.perSecond(replicaId);
  }

  /** Records the limit that a response of a replica states; `perSecond` is undefined if it states none. */
  public recordResponse(replica: Replica, perSecond: number | undefined, nowMs: number): void {
    const statement: RateLimitStatement = {
      replicaId: replica.id,
      bornMs: replica.bornMs,
      ...(perSecond !== undefined && { perSecond }),
    };
    this._table.record(statement, nowMs);
  }

  /** Records that a request is sent to a replica. */
  public recordSend(replicaId: string): void {
    if (this.perSecond(replicaId) !== undefined) {
      this._metrics.count('sent');
    }
  }

  /** Removes the limits of replicas that no longer exist. */
  public retain(isKnown: (replicaId: string) => boolean): void {
    this._table.retain(isKnown);
    this._metrics.setLimitedReplicas(this._table.size);
  }

  private _logChange({ replicaId, perSecond }: RateLimitStatement): void {
    this._metrics.setLimitedReplicas(this._table.size);
    if (perSecond === undefined) {
      this._log.info('Rate limit of a replica ended.', { replica: replicaId });
    } else {
      this._log.info('Rate limit of a replica in force.', { replica: replicaId, perSecond });
    }
  }
}
