import type { LeaderStatus } from './Types.js';

/** Chooses when the followers are sent the leader's status: at intervals, and at once when it means something new. */
export class StatusPacer {
  private _sent: LeaderStatus | undefined;
  private _sentMs = Number.NEGATIVE_INFINITY;

  /** Returns the message to send now; undefined if the followers know enough. `heartbeatMs` is in milliseconds. */
  public next(status: LeaderStatus, heartbeatMs: number, nowMs: number): LeaderStatus | undefined {
    const isDue = nowMs - this._sentMs >= heartbeatMs;
    if (!isDue && this._sent !== undefined && !isNews(this._sent, status)) {
      return undefined;
    }
    this._sent = status;
    this._sentMs = nowMs;
    return status;
  }
}

function isNews(before: LeaderStatus, after: LeaderStatus): boolean {
  return (
    before.leads !== after.leads ||
    before.tellsChanges !== after.tellsChanges ||
    before.daemonCount !== after.daemonCount
  );
}
