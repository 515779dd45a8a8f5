import * as common from '@jayhaven/common';
import type { ReportCall } from './Types.js';

const retryIntervalMs = 1000;
/** Maximum number of pending reports. Beyond it the oldest release is dropped, or else the oldest report. */
const maximumPending = 5000;
/** Maximum number of reports that are sent at once. */
const maximumBatch = 50;

/** A report to a claim holder, and the time at which it is due. */
export interface DueReport {
  readonly body: ReportCall['body'];
  readonly dueAtMs: number;
}

/** Repeats reports on claims until they are in force, for example after an outage of the log. */
export class ReportRetrier extends common.Task<'retry'> {
  private _pending: DueReport[] = [];
  private _sending = false;
  private _stopped = false;

  public constructor(
    private readonly _now: () => number,
    /** Returns whether the report was replayed, whatever its effect. */
    private readonly _send: (body: ReportCall['body']) => Promise<boolean>,
  ) {
    super();
    this.postEvery(retryIntervalMs, () => 'retry');
  }

  /** Adds a report. */
  public add(report: DueReport): void {
    this._pending.push(report);
    if (this._pending.length > maximumPending) {
      // A dropped release leaves a key taken, which is safe; a dropped result cannot be recovered.
      const release = this._pending.findIndex(({ body }) => body.kind === 'released');
      this._pending.splice(Math.max(0, release), 1);
    }
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    await super[Symbol.asyncDispose]();
  }

  protected override handle(): void {
    if (!this._sending && !this._stopped) {
      void this._sendDue();
    }
  }

  private async _sendDue(): Promise<void> {
    const nowMs = this._now();
    const due = this._pending.filter((report) => report.dueAtMs <= nowMs).slice(0, maximumBatch);
    if (due.length === 0) {
      return;
    }
    this._sending = true;
    const sent = new Set(due);
    this._pending = this._pending.filter((report) => !sent.has(report));
    const results = await Promise.all(due.map(async (report) => ({ report, done: await this._send(report.body) })));
    this._pending.unshift(...results.filter(({ done }) => !done).map(({ report }) => report));
    this._sending = false;
  }
}
