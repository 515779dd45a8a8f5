/**
 * Intervals of the messages between the leader and the daemons, milliseconds. Those that cost the leader a message for
 * each daemon grow with the number of daemons, so that its work is bounded by what changes and not by who is there.
 */
export interface MessagePaces {
  /** Time between two steps of a daemon's periodic work. */
  readonly tickMs: number;
  /** Longest time between two messages with the leader's status. */
  readonly heartbeatMs: number;
  /** Least time between two reports of a daemon that has nothing urgent to tell. */
  readonly reportMs: number;
  /** Longest time between two reports of a daemon. */
  readonly idleReportMs: number;
  /** Least time between two reports of a daemon whose requests have begun to wait. */
  readonly urgentReportMs: number;
  /** Time between two messages with the load of replicas. */
  readonly loadsMs: number;
  /** Longest time that changes of a replica's models are gathered for daemons whose requests do not wait for them. */
  readonly holdingsMs: number;
  /** Least time between two reads of the store while no leader is heard. */
  readonly aloneReadMs: number;
  /** The same while daemons that follow a leader read the store in its place, in turn. */
  readonly sharedReadMs: number;
}

/** Paces at a number of daemons. */
export function messagePaces(daemonCount: number): MessagePaces {
  const reportMs = clamp(daemonCount * 5, 100, 1_000);
  return {
    tickMs: clamp(daemonCount * 2, 100, 300),
    heartbeatMs: clamp(daemonCount * 2, 300, 400),
    reportMs,
    idleReportMs: Math.max(reportMs, 500),
    urgentReportMs: clamp(daemonCount / 4, 5, 100),
    loadsMs: clamp(daemonCount * 5, 300, 1_000),
    holdingsMs: clamp(daemonCount, 10, 200),
    aloneReadMs: clamp(daemonCount * 10, 400, 2_000),
    sharedReadMs: clamp(daemonCount * 40, 400, 3_000),
  };
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(Math.max(value, minimum), maximum);
}
