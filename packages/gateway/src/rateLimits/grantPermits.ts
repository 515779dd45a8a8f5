import { type PermitWait, spareUrgency } from './Types.js';

/** Permits that requests sent to other replicas leave for requests that are about to wait. */
const reservedForWaiting = 1;

/** A demand of a daemon for permits of one replica. */
export interface OpenDemand {
  readonly daemon: string;
  readonly urgency: number;
  /** Time until the first of the requests is late, milliseconds, as of the report. */
  readonly slackMs: number;
  /** Requests without a permit; reduced by each grant, so that the next allocation does not grant it again. */
  count: number;
}

/**
 * Grants permits to the most urgent demands, and in turn to demands of equal urgency, those that are late first. Reduces
 * their counts and returns the number of permits for each daemon.
 */
export function grantPermits(demands: readonly OpenDemand[], permits: number): ReadonlyMap<string, number> {
  const granted = new Map<string, number>();
  let remaining = permits;
  for (const group of groupByUrgency(demands)) {
    if (group[0]?.urgency === spareUrgency) {
      remaining -= reservedForWaiting;
    }
    for (let open = withRequests(group); remaining > 0 && open.length > 0; open = withRequests(open)) {
      for (const demand of open.slice(0, remaining)) {
        demand.count -= 1;
        remaining -= 1;
        granted.set(demand.daemon, (granted.get(demand.daemon) ?? 0) + 1);
      }
    }
  }
  return granted;
}

/**
 * Expected waits of the requests that have no permit, by daemon. `reserved` permits are used before theirs;
 * `timeToPermitMs` is the time until the permit of a position in the queue.
 */
export function permitWaits(
  demands: readonly OpenDemand[],
  reserved: number,
  timeToPermitMs: (position: number) => number,
  permitsPerSecond: number,
): ReadonlyMap<string, readonly PermitWait[]> {
  const waits = new Map<string, readonly PermitWait[]>();
  let ahead = reserved;
  for (const group of groupByUrgency(demands)) {
    const waiting = requestCount(group);
    const firstInMs = timeToPermitMs(ahead);
    for (const { daemon, urgency, count } of group) {
      // Demands of equal urgency get permits in turn, so a daemon's own requests are as far apart as its share is small.
      const spacingMs = (Math.max(waiting / Math.max(count, 1), 1) * 1_000) / permitsPerSecond;
      waits.set(daemon, [...(waits.get(daemon) ?? []), { urgency, firstInMs, spacingMs }]);
    }
    ahead += waiting;
  }
  return waits;
}

/** Number of requests that wait for a permit, without those that were sent to other replicas. */
export function waitingCount(demands: readonly OpenDemand[]): number {
  return requestCount(demands.filter(({ urgency }) => urgency !== spareUrgency));
}

/** Groups demands by urgency, the most urgent first, and sorts each group by the time until its requests are late. */
function groupByUrgency(demands: readonly OpenDemand[]): readonly (readonly OpenDemand[])[] {
  const sorted = [...demands].sort((first, second) => first.urgency - second.urgency || first.slackMs - second.slackMs);
  const groups = new Map<number, OpenDemand[]>();
  for (const demand of sorted) {
    const group = groups.get(demand.urgency) ?? [];
    group.push(demand);
    groups.set(demand.urgency, group);
  }
  return [...groups.values()];
}

function withRequests(demands: readonly OpenDemand[]): readonly OpenDemand[] {
  return demands.filter(({ count }) => count > 0);
}

function requestCount(demands: readonly OpenDemand[]): number {
  return demands.reduce((sum, { count }) => sum + count, 0);
}
