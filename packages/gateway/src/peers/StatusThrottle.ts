import type { LeaderStatus } from './Types.js';

/** Chooses when the leader's status is sent to the followers: at intervals, and at once after a relevant change. */
export class StatusThrottle {
  private _lastSent: LeaderStatus | undefined;
  private _lastSentMs = Number.NEGATIVE_INFINITY;

  /** Returns the message to send now; undefined if none is due. `heartbeatMs` is in milliseconds. */
  public next(status: LeaderStatus, heartbeatMs: number, nowMs: number): LeaderStatus | undefined {
    const isDue = nowMs - this._lastSentMs >= heartbeatMs;
    if (!isDue && this._lastSent !== undefined && !mustBeSentAtOnce(this._lastSent, status)) {
      return undefined;
    }
    this._lastSent = status;
    this._lastSentMs = nowMs;
    return status;
  }
}

function mustBeSentAtOnce(before: LeaderStatus, after: LeaderStatus): boolean {
  return (
    before.leads !== after.leads ||
    before.tellsChanges !== after.tellsChanges ||
    before.daemonCount !== after.daemonCount
  );
}
