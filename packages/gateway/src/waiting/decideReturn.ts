/** A refused request and the capacity that a retry of it could be served with. */
export interface RefusedSituation {
  /** Time until a retry can be served, milliseconds. */
  readonly readyInMs: number;
  /** Time until the deadline of the request, milliseconds. */
  readonly timeLeftMs: number;
  /** Time that the caller waits for the first byte of each attempt, milliseconds. */
  readonly callerTimeoutMs: number;
}

/** Times between which a refused caller is asked to return, milliseconds from now. */
export interface ReturnWindow {
  readonly firstMs: number;
  readonly lastMs: number;
  /** False if no retry can be served before the caller's deadline. */
  readonly isServed: boolean;
}

/** Time from the model being ready until the first event reaches the caller, milliseconds. */
export const firstEventReserveMs = 300;
/**
 * Share of its remaining time up to which a caller honours Retry-After. It is just under one third, as the response
 * takes some milliseconds to reach the caller.
 */
const honouredShare = 0.32;
/** Least time to return, milliseconds. Another daemon may learn of the model's replica only after this time. */
const minimumReturnMs = 100;

/**
 * Decides when a refused caller returns. It returns when it can be served, if it honours that time. If it can be served
 * later, but within the time that the retry waits, it returns as late as it honours and waits for the rest. If no retry
 * can be served before the deadline, the true time is returned: a caller that returns earlier is refused once more, as it
 * is without a time, and one that honours it is served with its next request.
 */
export function decideReturn(situation: RefusedSituation): ReturnWindow {
  const { readyInMs, timeLeftMs } = situation;
  const earliestMs = Math.max(readyInMs, minimumReturnMs);
  const lastMs = Math.min(timeLeftMs * honouredShare, timeLeftMs - firstEventReserveMs);
  const firstMs = Math.min(earliestMs, lastMs);
  return isServedAfter(firstMs, situation) && isServedAfter(lastMs, situation)
    ? { firstMs, lastMs, isServed: true }
    : { firstMs: earliestMs, lastMs: earliestMs, isServed: false };
}

/** True if a caller that returns after some time gets its first byte while it waits, and before its deadline. */
function isServedAfter(returnMs: number, { readyInMs, timeLeftMs, callerTimeoutMs }: RefusedSituation): boolean {
  const firstByteMs = Math.max(readyInMs - returnMs, 0) + firstEventReserveMs;
  return returnMs >= 0 && firstByteMs <= Math.min(callerTimeoutMs, timeLeftMs - returnMs);
}
