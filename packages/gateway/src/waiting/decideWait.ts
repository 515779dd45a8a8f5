/** State of a request that no replica can serve at present. */
export interface WaitingSituation {
  readonly waitedMs: number;
  /** Time until the caller stops waiting for the first byte, milliseconds. */
  readonly firstByteTimeLeftMs: number;
  readonly latencyTargetMs: number;
  /** Expected time until the model is ready; absent without an estimate from the leader. */
  readonly readyInMs?: number;
}

/** Whether a request keeps waiting. A refusal has the time after which to retry. */
export type WaitDecision =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfterMs: number; readonly reason: string };

/** Time from the model being ready until the first event reaches the caller, milliseconds. */
const firstEventReserveMs = 300;
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
 * models and changes of the leader. A request that cannot be served in time is refused at once, with the time until the
 * model is expected to be ready.
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

/** Maximum wait without an estimate, milliseconds. Callers with enough time wait for the models of the next leader. */
function leaderlessWaitLimitMs(totalMs: number, latencyTargetMs: number): number {
  const nextLeaderMs = leaderChangeMs + leaderChangeMarginMs;
  const outlastsLeaderChange = nextLeaderMs <= totalMs * leaderChangeShare;
  return Math.max(latencyTargetMs, totalMs * leaderlessWaitShare, outlastsLeaderChange ? nextLeaderMs : 0);
}
