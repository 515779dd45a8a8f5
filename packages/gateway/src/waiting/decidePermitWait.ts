import { decideWait, type WaitDecision, type WaitingSituation } from './decideWait.js';

/** Time from a permit until the first byte of the response reaches the caller, milliseconds. */
const firstByteReserveMs = 100;

/** State of a request that waits for a permit of a replica with a rate limit. `readyInMs` is the time until its turn. */
export interface PermitWaitSituation extends WaitingSituation {
  /** Mean run time on the replica, milliseconds. */
  readonly runMs: number;
}

/**
 * Decides whether a request keeps waiting for its turn at a replica whose rate limit is used up. The wait must leave time
 * for the whole run: a stream that is cut off at its deadline has used a permit that another request could have had.
 */
export function decidePermitWait(situation: PermitWaitSituation): WaitDecision {
  const { readyInMs, firstByteTimeLeftMs, timeLeftMs, runMs } = situation;
  if (readyInMs === undefined) {
    const decision = decideWait(situation);
    return decision.kind === 'wait'
      ? decision
      : { ...decision, reason: 'no leader grants requests to the limited replica' };
  }
  const longestWaitMs = Math.min(firstByteTimeLeftMs, timeLeftMs - runMs) - firstByteReserveMs;
  return readyInMs <= longestWaitMs
    ? { kind: 'wait' }
    : { kind: 'refuse', retryAfterMs: readyInMs, reason: 'the rate limit of every replica is used up' };
}
