import type { LeaderStatus, ReadyEstimate } from './Types.js';

/** Time after which an estimate is out of date, milliseconds. The leader repeats estimates several times within it. */
const estimateLifetimeMs = 1_200;
/** Time from the first status of a leader until it has estimates for the requests that waited before, milliseconds. */
const firstEstimatesMs = 1_500;

/** Time in which daemons that have started elect a leader and reach it, milliseconds. One that is cut off waits no longer. */
const firstLeaderMs = 8_000;

/** Last status and estimates received from the placement leader, which may be this daemon itself. */
export class LeaderView {
  private _status: LeaderStatus | undefined;
  private _firstLeaderMs: number | undefined;
  /** Time of the first question for the leader, steady milliseconds. */
  private _firstAskedMs: number | undefined;
  private _estimates: ReadonlyMap<string, ReadyEstimate> = new Map();
  private _estimatesReceivedMs = Number.NEGATIVE_INFINITY;

  public applyStatus(status: LeaderStatus, nowMs: number): void {
    this._status = status;
    if (status.leads) {
      this._firstLeaderMs ??= nowMs;
    }
  }

  public applyEstimates(estimates: readonly ReadyEstimate[], nowMs: number): void {
    this._estimates = new Map(estimates.map((estimate) => [estimate.model, estimate]));
    this._estimatesReceivedMs = nowMs;
  }

  /** True if the sender of the last status leads. */
  public get isLeading(): boolean {
    return this._status?.leads === true;
  }

  /** True if the sender of the last status forwards changes of the store; undefined if no status was received. */
  public get forwardsChanges(): boolean | undefined {
    return this._status?.tellsChanges;
  }

  /** Number of daemons; 1 if no status was received. */
  public get daemonCount(): number {
    return this._status?.daemonCount ?? 1;
  }

  /** True until this daemon knows the estimates of its first leader, as after the start of all daemons. */
  public awaitsFirstLeader(nowMs: number): boolean {
    if (this._firstLeaderMs !== undefined) {
      return nowMs - this._firstLeaderMs < firstEstimatesMs;
    }
    this._firstAskedMs ??= nowMs;
    return nowMs - this._firstAskedMs < firstLeaderMs;
  }

  /** Expected time until a model is ready, milliseconds; undefined without a recent estimate. */
  public readyInMs(model: string, nowMs: number): number | undefined {
    const estimate = this._recentEstimate(model, nowMs);
    return estimate && Math.max(estimate.readyInMs - (nowMs - this._estimatesReceivedMs), 0);
  }

  /** Time over which a model that becomes ready takes the requests that wait for it, milliseconds. */
  public spreadMs(model: string, nowMs: number): number {
    return this._recentEstimate(model, nowMs)?.spreadMs ?? 0;
  }

  private _recentEstimate(model: string, nowMs: number): ReadyEstimate | undefined {
    return nowMs - this._estimatesReceivedMs < estimateLifetimeMs ? this._estimates.get(model) : undefined;
  }
}
