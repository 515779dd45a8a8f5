import type { LeaderStatus, ReadyEstimate } from './Types.js';

/** Estimates are repeated several times in this span, so an older one no longer holds, milliseconds. */
const estimateLifetimeMs = 1_200;

/** What this daemon has heard from the placement leader, itself included. */
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

  /** True if the one that was heard last leads. */
  public get leads(): boolean {
    return this._status?.leads === true;
  }

  /** True if the one that was heard last tells changes of the store; undefined if none was heard. */
  public get forwardsChanges(): boolean | undefined {
    return this._status?.tellsChanges;
  }

  /** Number of daemons; 1 if none was heard. */
  public get daemonCount(): number {
    return this._status?.daemonCount ?? 1;
  }

  /** Expected time until a model is ready, milliseconds; undefined if none was told a moment ago. */
  public readyInMs(model: string, nowMs: number): number | undefined {
    return nowMs - this._estimatesReceivedMs < estimateLifetimeMs ? this._estimates.get(model) : undefined;
  }
}
