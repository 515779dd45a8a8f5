/** What is known of a request that no replica can serve at this moment. */
export interface WaitingSituation {
  readonly waitedMs: number;
  /** Time until the caller gives up waiting for the first byte, milliseconds. */
  readonly firstByteTimeLeftMs: number;
  readonly latencyTargetMs: number;
  /** Expected time until the model is ready; absent while no leader tells. */
  readonly readyInMs?: number;
}

/** Whether a request goes on waiting. A refusal says when to come back. */
export type WaitDecision =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfterMs: number; readonly reason: string };

/** Time from a ready model until the first event reaches the caller, milliseconds. */
const firstEventReserveMs = 300;
/** Waits without word from the leader end after this share of the time that a request has. */
const leaderlessWaitShare = 0.2;
/** A new leader gives its first orders after about this time, milliseconds. */
const leaderChangeMs = 4_000;
/** Waits without word from the leader outlast a change of the leader by this much, if the caller's time allows, milliseconds. */
const leaderChangeMarginMs = 1_000;
/** Share of the time that a request has which a wait for a new leader may take. */
const leaderChangeShare = 0.5;

/**
 * Decides whether a request for a model that is not ready goes on waiting. Answers bursts of rare models and changes
 * of the leader: a request that cannot be served in time is refused at once with the time at which the model is ready.
 */
export function decideWait(situation: WaitingSituation): WaitDecision {
  const { waitedMs, firstByteTimeLeftMs, latencyTargetMs, readyInMs } = situation;
  if (readyInMs !== undefined) {
    return readyInMs + firstEventReserveMs <= firstByteTimeLeftMs || readyInMs <= latencyTargetMs
      ? { kind: 'wait' }
      : { kind: 'refuse', retryAfterMs: readyInMs, reason: 'model is not ready in time' };
  }
  return waitedMs < leaderlessWaitLimitMs(waitedMs + firstByteTimeLeftMs, latencyTargetMs)
    ? { kind: 'wait' }
    : { kind: 'refuse', retryAfterMs: leaderChangeMs, reason: 'no leader tells when the model is ready' };
}

/** Longest wait without word from the leader, milliseconds. Patient callers get the models of the next leader. */
function leaderlessWaitLimitMs(totalMs: number, latencyTargetMs: number): number {
  const nextLeaderMs = leaderChangeMs + leaderChangeMarginMs;
  const outlastsLeaderChange = nextLeaderMs <= totalMs * leaderChangeShare;
  return Math.max(latencyTargetMs, totalMs * leaderlessWaitShare, outlastsLeaderChange ? nextLeaderMs : 0);
}
