import type { LeaderStatus, ReadyEstimate } from './Types.js';

/** Longest pause between two messages, and least between two with the load of replicas, milliseconds. */
const fullIntervalMs = 300;
/** An estimate that moved by less than this is not sent again at once, milliseconds. */
const estimateToleranceMs = 150;

/**
 * Chooses which status the followers are sent. Most changes are counts of requests on replicas, whose bytes to every
 * daemon are the larger part of the traffic between daemons; they go out a few times a second, other changes at once.
 */
export class StatusPacer {
  private _sent: LeaderStatus | undefined;
  private _fullAtMs = Number.NEGATIVE_INFINITY;

  /** Returns the message to send now; undefined if the followers know enough. */
  public next(status: LeaderStatus, nowMs: number): LeaderStatus | undefined {
    if (nowMs - this._fullAtMs >= fullIntervalMs) {
      this._fullAtMs = nowMs;
      this._sent = status;
      return status;
    }
    if (this._sent !== undefined && !isNews(this._sent, status)) {
      return undefined;
    }
    this._sent = status;
    return { ...status, running: {} };
  }
}

function isNews(before: LeaderStatus, after: LeaderStatus): boolean {
  return (
    before.leads !== after.leads ||
    before.tellsChanges !== after.tellsChanges ||
    before.daemonCount !== after.daemonCount ||
    before.estimates.length !== after.estimates.length ||
    after.estimates.some((estimate) => hasMoved(before.estimates, estimate))
  );
}

function hasMoved(before: readonly ReadyEstimate[], after: ReadyEstimate): boolean {
  const known = before.find((estimate) => estimate.model === after.model);
  return known === undefined || Math.abs(known.readyInMs - after.readyInMs) >= estimateToleranceMs;
}
