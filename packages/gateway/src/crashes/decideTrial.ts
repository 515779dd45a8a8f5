/** Share of its caller's time that a request waits for a trial of its suspected parts at most. */
const trialWaitShare = 0.5;
/** Retry-After of a request that no trial was granted for, milliseconds. The next trials have ended by then. */
const trialRetryAfterMs = 1_000;

/** State of a request with suspected parts that a replica could take now. */
export interface TrialSituation {
  readonly waitedMs: number;
  /** Time until the caller stops waiting for the first byte, milliseconds. */
  readonly firstByteTimeLeftMs: number;
}

/** Whether a request with suspected parts is sent as their trial, waits for one, or is refused. */
export type TrialDecision =
  | { readonly kind: 'send' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number };

/** Decides on a request with suspected parts; `hasGrant` is true if the leader allows a trial of them. */
export function decideTrial({ waitedMs, firstByteTimeLeftMs }: TrialSituation, hasGrant: boolean): TrialDecision {
  if (hasGrant) {
    return { kind: 'send' };
  }
  return waitedMs <= firstByteTimeLeftMs * (trialWaitShare / (1 - trialWaitShare))
    ? { kind: 'wait' }
    : {
        kind: 'refuse',
        reason: 'the request or parts of its prompt are suspected of ending replicas',
        retryAfterMs: trialRetryAfterMs,
      };
}
