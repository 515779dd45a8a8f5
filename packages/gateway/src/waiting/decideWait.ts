import { decideReturn, firstEventReserveMs, type ReturnWindow } from './decideReturn.js';

/** State of a request that no replica can serve at present. */
export interface WaitingSituation {
  readonly waitedMs: number;
  /** Time until the caller stops waiting for the first byte, milliseconds. */
  readonly firstByteTimeLeftMs: number;
  /** Time until the deadline of the request, milliseconds. */
  readonly timeLeftMs: number;
  /** Time that the caller waits for the first byte of each attempt, milliseconds. */
  readonly callerTimeoutMs: number;
  readonly latencyTargetMs: number;
  /** Expected time until the model is ready; absent without an estimate from the leader. */
  readonly readyInMs?: number;
  /** True until this daemon knows the estimates of its first leader, as after the start of all daemons. */
  readonly awaitsFirstLeader?: boolean;
}

/** Whether a request keeps waiting. A refusal has the time after which to retry. */
export type WaitDecision =
  | { readonly kind: 'wait' }
  | {
      readonly kind: 'refuse';
      readonly retryAfterMs: number;
      readonly reason: string;
      /** Times between which the retry may be spread. Absent if the time to retry is exact. */
      readonly returnWindow?: ReturnWindow;
    };

/** Share of the time of a request after which a wait without an estimate from the leader ends. */
const leaderlessWaitShare = 0.2;
/** Approximate time until a new leader sends its first orders, milliseconds. */
const leaderChangeMs = 4_000;
/** Time added to the change of the leader for a wait without an estimate, if the caller has the time, milliseconds. */
const leaderChangeMarginMs = 1_000;
/** Share of the time of a request that a wait for a new leader may take. */
const leaderChangeShare = 0.5;

/**
 * Decides whether a request for a model that is not ready keeps waiting, also during bursts of requests for rarely used
 * models and changes of the leader. A request that can still get its first byte waits, late or not: a late response is
 * worth more than none. A request that cannot be served in time is refused at once, with the time to return.
 */
export function decideWait(situation: WaitingSituation): WaitDecision {
  const { waitedMs, firstByteTimeLeftMs, latencyTargetMs, readyInMs, awaitsFirstLeader } = situation;
  if (readyInMs !== undefined) {
    return readyInMs + firstEventReserveMs <= firstByteTimeLeftMs
      ? { kind: 'wait' }
      : refuse(situation, readyInMs, 'model is not ready in time');
  }
  const isWaiting =
    awaitsFirstLeader === true
      ? firstByteTimeLeftMs > firstEventReserveMs
      : waitedMs < leaderlessWaitLimitMs(waitedMs + firstByteTimeLeftMs, latencyTargetMs);
  return isWaiting ? { kind: 'wait' } : refuse(situation, leaderChangeMs, 'no leader tells when the model is ready');
}

function refuse(situation: WaitingSituation, readyInMs: number, reason: string): WaitDecision {
  const returnWindow = decideReturn({ ...situation, readyInMs });
  return { kind: 'refuse', retryAfterMs: returnWindow.firstMs, reason, returnWindow };
}

/** Maximum wait without an estimate, milliseconds. Callers with enough time wait for the models of the next leader. */
function leaderlessWaitLimitMs(totalMs: number, latencyTargetMs: number): number {
  const nextLeaderMs = leaderChangeMs + leaderChangeMarginMs;
  const outlastsLeaderChange = nextLeaderMs <= totalMs * leaderChangeShare;
  return Math.max(latencyTargetMs, totalMs * leaderlessWaitShare, outlastsLeaderChange ? nextLeaderMs : 0);
}
