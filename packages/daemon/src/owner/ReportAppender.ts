import type * as decisions from '@jayhaven/decisions';
import type { ControlPlane, DaemonContext } from '../Types.js';

/** Pause after a report that was not confirmed, milliseconds. */
const retryMs = 300;

/** Appends reports to the log, each at most once at a time. It does not retry: callers append again if necessary. */
export class ReportAppender {
  private readonly _pending = new Map<string, Promise<boolean>>();
  private readonly _pausedUntilMs = new Map<string, number>();

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _control: ControlPlane,
  ) {}

  /** Number of appends in progress. */
  public get pendingCount(): number {
    return this._pending.size;
  }

  /** Appends a report unless the same one is pending or failed recently. Resolves to true once it is accepted. */
  public append(body: decisions.ControlRecordBody): Promise<boolean> {
    // Reports that differ only in the offset at which the state was read are the same report.
    const key = JSON.stringify({ ...body, readAfter: undefined });
    const pendingAppend = this._pending.get(key);
    if (pendingAppend !== undefined) {
      return pendingAppend;
    }
    if ((this._pausedUntilMs.get(key) ?? -Infinity) > this._context.now()) {
      return Promise.resolve(false);
    }
    const appended = this._append(key, body);
    this._pending.set(key, appended);
    return appended;
  }

  private async _append(key: string, body: decisions.ControlRecordBody): Promise<boolean> {
    this._pausedUntilMs.delete(key);
    const outcome = await this._control.log.append(body, this._context.settings.platform.logTimeoutMs);
    this._pending.delete(key);
    if (!outcome.ok) {
      this._pausedUntilMs.set(key, this._context.now() + retryMs);
      this._dropExpiredPauses();
    }
    return outcome.ok;
  }

  private _dropExpiredPauses(): void {
    const nowMs = this._context.now();
    for (const [key, untilMs] of this._pausedUntilMs) {
      if (untilMs < nowMs) {
        this._pausedUntilMs.delete(key);
      }
    }
  }
}
