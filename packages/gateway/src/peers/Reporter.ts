import type { Clock } from '../Clock.js';
import type { ArrivalCounter } from '../placement/ArrivalCounter.js';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import type { WaitingRequests } from '../waiting/WaitingRequests.js';
import { type MessageIntervals, messageIntervals } from './messageIntervals.js';
import type { DaemonReport } from './Types.js';

/** Sources of the data in a daemon's reports. */
export interface ReportSources {
  readonly waitingRequests: WaitingRequests;
  readonly arrivals: ArrivalCounter;
  readonly loads: ReplicaLoads;
}

/** Reports to the leader: soon after a change, at once when requests begin to wait, and otherwise at intervals. */
export class Reporter implements AsyncDisposable {
  private _lastReportMs = Number.NEGATIVE_INFINITY;
  private _urgentReportTimer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly _name: string,
    private readonly _sources: ReportSources,
    /** Sends a report to the leader. */
    private readonly _send: (report: DaemonReport) => void,
    private readonly _daemonCount: () => number,
    private readonly _clock: Clock,
  ) {}

  /** Sends a report if one is due. Called several times a second. */
  public reportIfDue(): void {
    const { waitingRequests, arrivals, loads } = this._sources;
    const hasChanges = waitingRequests.size > 0 || arrivals.hasArrivals || loads.hasChanges;
    const { reportMs, idleReportMs } = this._intervals();
    if (this._nowMs() - this._lastReportMs >= (hasChanges ? reportMs : idleReportMs)) {
      this._report();
    }
  }

  /** Schedules a report that requests have begun to wait; one report covers all that begin within a short time. */
  public scheduleUrgentReport(): void {
    const delayMs = Math.max(this._lastReportMs + this._intervals().urgentReportMs - this._nowMs(), 0);
    this._urgentReportTimer ??= setTimeout(() => {
      this._urgentReportTimer = undefined;
      this._report();
    }, delayMs);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this._urgentReportTimer);
    return Promise.resolve();
  }

  private _report(): void {
    const { waitingRequests, arrivals, loads } = this._sources;
    const nowMs = this._nowMs();
    this._lastReportMs = nowMs;
    this._send({
      daemon: this._name,
      waiting: waitingRequests.report(nowMs),
      arrivals: arrivals.take(),
      running: loads.report(),
      unreachable: loads.unreachable(nowMs),
    });
  }

  private _intervals(): MessageIntervals {
    return messageIntervals(this._daemonCount());
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}
