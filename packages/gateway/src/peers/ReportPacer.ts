import type { MessagePaces } from './messagePaces.js';

/** Chooses when a daemon reports to the leader. */
export class ReportPacer {
  private _reportedMs = Number.NEGATIVE_INFINITY;

  /** True if a report is due: soon after news, and at intervals without any, so that the leader hears the daemon. */
  public isDue(hasNews: boolean, paces: MessagePaces, nowMs: number): boolean {
    return nowMs - this._reportedMs >= (hasNews ? paces.reportMs : paces.idleReportMs);
  }

  /** Time until a report of requests that have begun to wait may be sent, milliseconds. */
  public urgentDelayMs(paces: MessagePaces, nowMs: number): number {
    return Math.max(this._reportedMs + paces.urgentReportMs - nowMs, 0);
  }

  public reported(nowMs: number): void {
    this._reportedMs = nowMs;
  }
}
