/**
 * Intervals of the messages between the leader and the daemons, milliseconds. Those that cost the leader a message per
 * daemon grow with the number of daemons, so that its work depends on the number of changes and not of daemons.
 */
export interface MessageIntervals {
  /** Time between two steps of a daemon's periodic work. */
  readonly tickMs: number;
  /** Longest time between two messages with the leader's status. */
  readonly heartbeatMs: number;
  /** Least time between two reports of a daemon that are not urgent. */
  readonly reportMs: number;
  /** Longest time between two reports of a daemon. */
  readonly idleReportMs: number;
  /** Least time between two reports of a daemon whose requests have begun to wait. */
  readonly urgentReportMs: number;
  /** Least time between two messages of a daemon with the origins of its streams. */
  readonly originsMs: number;
  /** Time between two messages with the loads of replicas. */
  readonly loadsMs: number;
  /** Longest time that changes of a replica's models are buffered for daemons whose requests do not wait for them. */
  readonly holdingsMs: number;
  /** Least time between two reads of the store while this daemon receives nothing from a leader. */
  readonly leaderlessReadMs: number;
  /** Mean time between two reads while the leader does not reach the store and its followers share the reads. */
  readonly sharedReadMs: number;
}

/** An interval that grows with the number of daemons between two bounds, milliseconds. */
interface ScaledInterval {
  readonly perDaemonMs: number;
  readonly minimumMs: number;
  readonly maximumMs: number;
}

const intervals = {
  tick: { perDaemonMs: 2, minimumMs: 100, maximumMs: 300 },
  // A leader counts as lost after three missed heartbeats.
  heartbeat: { perDaemonMs: 2, minimumMs: 300, maximumMs: 400 },
  // Up to 200 daemons, at most 200 reports a second reach the leader besides the urgent ones.
  report: { perDaemonMs: 5, minimumMs: 100, maximumMs: 1_000 },
  urgentReport: { perDaemonMs: 0.25, minimumMs: 5, maximumMs: 100 },
  origins: { perDaemonMs: 2, minimumMs: 20, maximumMs: 500 },
  loads: { perDaemonMs: 5, minimumMs: 300, maximumMs: 1_000 },
  holdings: { perDaemonMs: 1, minimumMs: 10, maximumMs: 200 },
  leaderlessRead: { perDaemonMs: 10, minimumMs: 400, maximumMs: 2_000 },
  // About 20 reads a second over all daemons, at different times, so that one of them waits for a change at any time.
  sharedRead: { perDaemonMs: 40, minimumMs: 400, maximumMs: 3_000 },
} as const satisfies Readonly<Record<string, ScaledInterval>>;

/** Lower bound of `idleReportMs`, well below the 3 s after which the leader considers a silent daemon gone. */
const minimumIdleReportMs = 500;

/** Returns the intervals for a number of daemons. */
export function messageIntervals(daemonCount: number): MessageIntervals {
  const reportMs = intervalMs(intervals.report, daemonCount);
  return {
    tickMs: intervalMs(intervals.tick, daemonCount),
    heartbeatMs: intervalMs(intervals.heartbeat, daemonCount),
    reportMs,
    idleReportMs: Math.max(reportMs, minimumIdleReportMs),
    urgentReportMs: intervalMs(intervals.urgentReport, daemonCount),
    originsMs: intervalMs(intervals.origins, daemonCount),
    loadsMs: intervalMs(intervals.loads, daemonCount),
    holdingsMs: intervalMs(intervals.holdings, daemonCount),
    leaderlessReadMs: intervalMs(intervals.leaderlessRead, daemonCount),
    sharedReadMs: intervalMs(intervals.sharedRead, daemonCount),
  };
}

function intervalMs({ perDaemonMs, minimumMs, maximumMs }: ScaledInterval, daemonCount: number): number {
  return Math.min(Math.max(daemonCount * perDaemonMs, minimumMs), maximumMs);
}
