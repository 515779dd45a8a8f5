import type { LeaderStatus, ReadyEstimate } from './Types.js';

/** Time after which an estimate is out of date, milliseconds. The leader repeats estimates several times within it. */
const estimateLifetimeMs = 1_200;

/** Last status and estimates received from the placement leader, which may be this daemon itself. */
export class LeaderView {
  private _status: LeaderStatus | undefined;
  private _estimates: ReadonlyMap<string, number> = new Map();
  private _estimatesReceivedMs = Number.NEGATIVE_INFINITY;

  public applyStatus(status: LeaderStatus): void {
    this._status = status;
  }

  public applyEstimates(estimates: readonly ReadyEstimate[], nowMs: number): void {
    this._estimates = new Map(estimates.map(({ model, readyInMs }) => [model, readyInMs]));
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

  /** Expected time until a model is ready, milliseconds; undefined without a recent estimate. */
  public readyInMs(model: string, nowMs: number): number | undefined {
    return nowMs - this._estimatesReceivedMs < estimateLifetimeMs ? this._estimates.get(model) : undefined;
  }
}
