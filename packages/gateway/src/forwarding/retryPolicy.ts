import type { Route } from '../Types.js';

/** Time limit for the start of a response to an idempotent request, as a multiple of the latency target. */
const idempotentInactivityFactor = 2;
/** Inactivity timeout of a stream, as a multiple of its event gap. Engines may pause while they reclaim memory. */
const streamInactivityFactor = 7;
/** Minimum inactivity timeout for idempotent requests, milliseconds. */
const minimumInactivityTimeoutMs = 200;
/** A route with a latency target of at most this value is interactive, milliseconds. */
const interactiveLatencyMs = 1_000;
/** Largest urgency number that engines accept; it is the least urgent. */
const lowestUrgency = 9;

/** True if requests of a route may run more than once. */
export function isRepeatable(route: Route): boolean {
  return route.kind === 'idempotent' || (route.kind === 'stream' && route.resumable);
}

/** True if a request may be sent to another replica although `possibleRuns` replicas may already have run it. */
export function mayRetry(route: Route, possibleRuns: number, headSent: boolean): boolean {
  const isTooLate = route.kind === 'idempotent' && headSent;
  return isRepeatable(route) && !isTooLate && possibleRuns < route.maximumAttempts;
}

/** Time without data after which an attempt at a replica is cancelled, milliseconds. */
export function inactivityTimeoutMs(route: Route, headSent: boolean): number {
  if (route.kind === 'idempotent') {
    return Math.max(route.latencyTargetMs * idempotentInactivityFactor, minimumInactivityTimeoutMs);
  }
  const gapMs = route.eventGapMs * streamInactivityFactor;
  return headSent ? gapMs : Math.max(gapMs, route.latencyTargetMs);
}

/** A caller cancels a stream without events after the longest of these times; the factors apply to the route's times. */
const callerTimeout = { minimumMs: 2_000, latencyFactor: 4, eventGapFactor: 8 } as const;

/** Maximum time that a caller waits for the first event of a stream, or for any other response, milliseconds. */
export function callerTimeoutMs(route: Route): number {
  const { minimumMs, latencyFactor, eventGapFactor } = callerTimeout;
  return route.kind === 'stream'
    ? Math.max(minimumMs, route.latencyTargetMs * latencyFactor, route.eventGapMs * eventGapFactor)
    : route.timeoutMs;
}

/**
 * Urgency sent to engines: that of the tenant's priority, or of the route's without one; at equal priority, interactive routes are more urgent. A stream
 * that goes on after a break is one level more urgent, as its caller has a part of it already.
 */
export function urgencyOf(route: Route, tenantPriority: number | undefined, isContinued: boolean): number {
  const urgency = (tenantPriority ?? route.priority) * 2 + (route.latencyTargetMs <= interactiveLatencyMs ? 0 : 1);
  return Math.min(Math.max(urgency - (isContinued ? 1 : 0), 0), lowestUrgency);
}
