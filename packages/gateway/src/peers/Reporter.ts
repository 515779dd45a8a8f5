import type { Clock } from '../Clock.js';
import type { ArrivalCounter } from '../placement/ArrivalCounter.js';
import type { ReplicaLoads } from '../routing/ReplicaLoads.js';
import type { WaitingRequests } from '../waiting/WaitingRequests.js';
import { type MessagePaces, messagePaces } from './messagePaces.js';
import type { DaemonReport } from './Types.js';

/** What a daemon reports of. */
export interface ReportSources {
  readonly waitingRoom: WaitingRequests;
  readonly arrivals: ArrivalCounter;
  readonly loads: ReplicaLoads;
}

/** Reports to the leader: soon after news, at once when requests begin to wait, and at intervals without any. */
export class Reporter implements AsyncDisposable {
  private _reportedMs = Number.NEGATIVE_INFINITY;
  private _timer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly _name: string,
    private readonly _sources: ReportSources,
    /** Hands a report to the leader. */
    private readonly _deliver: (report: DaemonReport) => void,
    private readonly _daemonCount: () => number,
    private readonly _clock: Clock,
  ) {}

  /** Reports if it is time to. Called several times a second. */
  public reportIfDue(): void {
    const { waitingRoom, arrivals, loads } = this._sources;
    const hasNews = waitingRoom.size > 0 || arrivals.hasArrivals || loads.hasChanges;
    const { reportMs, idleReportMs } = this._paces();
    if (this._nowMs() - this._reportedMs >= (hasNews ? reportMs : idleReportMs)) {
      this._report();
    }
  }

  /** Reports that requests have begun to wait; one report serves all that begin within a short time. */
  public reportSoon(): void {
    const delayMs = Math.max(this._reportedMs + this._paces().urgentReportMs - this._nowMs(), 0);
    this._timer ??= setTimeout(() => {
      this._timer = undefined;
      this._report();
    }, delayMs);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this._timer);
    return Promise.resolve();
  }

  private _report(): void {
    const { waitingRoom, arrivals, loads } = this._sources;
    const nowMs = this._nowMs();
    this._reportedMs = nowMs;
    this._deliver({
      daemon: this._name,
      waiting: waitingRoom.report(nowMs),
      arrivals: arrivals.take(),
      running: loads.report(),
      unreachable: loads.unreachable(nowMs),
    });
  }

  private _paces(): MessagePaces {
    return messagePaces(this._daemonCount());
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}
