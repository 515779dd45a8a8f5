import type { Route } from '../Types.js';

/** A replica that has not begun its answer after this many latency targets is given up. */
const idempotentInactivityFactor = 2;
/** Longest pause of a stream before it goes on elsewhere, in stated pauses. Engines may pause while they reclaim memory. */
const streamInactivityFactor = 7;
/** Least time that a replica gets, milliseconds. */
const minimumInactivityTimeoutMs = 200;
/** Latency targets up to this make a route interactive, milliseconds. */
const interactiveLatencyMs = 1_000;
/** Largest urgency number that engines know. */
const lowestUrgency = 9;

/** True if a request that replicas may have run `runs` times may be sent to one more. */
export function mayRetry(route: Route, possibleRuns: number, headSent: boolean): boolean {
  const isRepeatable = route.kind === 'idempotent' ? !headSent : route.kind === 'stream' && route.resumable;
  return isRepeatable && possibleRuns < route.maximumAttempts;
}

/** Time after which a silent replica is given up, milliseconds. */
export function inactivityTimeoutMs(route: Route, headSent: boolean): number {
  if (route.kind === 'idempotent') {
    return Math.max(route.latencyTargetMs * idempotentInactivityFactor, minimumInactivityTimeoutMs);
  }
  const gapMs = route.eventGapMs * streamInactivityFactor;
  return headSent ? gapMs : Math.max(gapMs, route.latencyTargetMs);
}

/** Callers give a stream up after the longest of these without an event. */
const callerTimeout = { minimumMs: 2_000, latencyFactor: 4, eventGapFactor: 8 } as const;

/** Longest time that a caller waits for the first event of a stream, or for an answer of another kind, milliseconds. */
export function callerTimeoutMs(route: Route): number {
  const { minimumMs, latencyFactor: latencyFactor, eventGapFactor: eventGapFactor } = callerTimeout;
  return route.kind === 'stream'
    ? Math.max(minimumMs, route.latencyTargetMs * latencyFactor, route.eventGapMs * eventGapFactor)
    : route.timeoutMs;
}

/** Urgency that engines are told: interactive routes first, then by rank. */
export function urgencyOf(route: Route): number {
  const urgency = route.priority * 2 + (route.latencyTargetMs <= interactiveLatencyMs ? 0 : 1);
  return Math.min(urgency, lowestUrgency);
}
