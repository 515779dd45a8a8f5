import type { Clock } from '../Clock.js';
import type { ArrivalCounter } from '../placement/ArrivalCounter.js';
import type { ReplicaRateLimits } from '../rateLimits/ReplicaRateLimits.js';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import type { SpeedReports } from '../speeds/SpeedReports.js';
import type { SpeedReport } from '../speeds/Types.js';
import type { WaitingRequests } from '../waiting/WaitingRequests.js';
import { type MessageIntervals, messageIntervals } from './messageIntervals.js';
import type { DaemonReport } from './Types.js';

/** Sources of the data in a daemon's reports. */
export interface ReportSources {
  readonly waitingRequests: WaitingRequests;
  readonly arrivals: ArrivalCounter;
  readonly loads: ReplicaLoads;
  readonly rateLimits: Pick<ReplicaRateLimits, 'takeReport'>;
  readonly speeds: Pick<SpeedReports, 'take'>;
}

/** Longest time between two reports while requests wait for permits, milliseconds: the demands of a report expire. */
const permitReportMs = 300;

/** Reports to the leader: soon after a change, at once when requests begin to wait, and otherwise at intervals. */
export class Reporter implements AsyncDisposable {
  private _lastReportMs = Number.NEGATIVE_INFINITY;
  /** True if the last report had demands for permits, which the leader serves until the next report. */
  private _hasOpenDemands = false;
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
    const hasChanges = waitingRequests.size > 0 || this._hasOpenDemands || arrivals.hasArrivals || loads.hasChanges;
    const { reportMs, idleReportMs } = this._intervals();
    const nowMs = this._nowMs();
    const needsPermits = this._hasOpenDemands || waitingRequests.permitDemands(nowMs).length > 0;
    const changeReportMs = needsPermits ? Math.min(reportMs, permitReportMs) : reportMs;
    if (nowMs - this._lastReportMs >= (hasChanges ? changeReportMs : idleReportMs)) {
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
    const { waitingRequests, arrivals, loads, rateLimits, speeds } = this._sources;
    const now = this._clock.now();
    const nowMs = now.steadyMs;
    this._lastReportMs = nowMs;
    const permits = rateLimits.takeReport(waitingRequests.permitDemands(nowMs), now);
    this._hasOpenDemands = permits.demands.length > 0;
    this._send({
      daemon: this._name,
      waiting: waitingRequests.report(nowMs),
      arrivals: arrivals.take(),
      running: loads.report(),
      unreachable: loads.unreachable(nowMs),
      permits,
      ...speedsOf(speeds.take()),
    });
  }

  private _intervals(): MessageIntervals {
    return messageIntervals(this._daemonCount());
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}

/** The part of a report on event gaps, which is left out if there are none. */
function speedsOf(speeds: readonly SpeedReport[]): Pick<DaemonReport, 'speeds'> {
  return speeds.length === 0 ? {} : { speeds };
}
