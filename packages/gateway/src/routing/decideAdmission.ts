import type { Candidate } from './chooseReplica.js';

/** A replica that a request could be sent to, and the time that is left to its caller. */
export interface AdmissionSituation {
  readonly candidate: Pick<Candidate, 'running' | 'runMs'> & { readonly replica: { readonly slots: number } };
  /** Time until the caller stops waiting for the first byte, milliseconds. */
  readonly firstByteTimeLeftMs: number;
}

/** Whether a request is sent. A refusal has the time after which the queue is expected to be short enough. */
export type AdmissionDecision = { readonly kind: 'send' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Share of a caller's remaining time that the wait in a replica's queue may take: reported loads are outdated. */
const waitShare = 0.8;

/** Expected wait of a further request in the queue of a replica, milliseconds. */
export function queueWaitMs({ running, runMs, replica }: AdmissionSituation['candidate']): number {
  const queued = Math.max(running + 1 - replica.slots, 0);
  return (queued * runMs) / Math.max(replica.slots, 1);
}

/**
 * Decides whether a request joins the queue of a replica. When requests for a model exceed the capacity
 * of its copies, a queue longer than callers wait serves none of them: each disconnects just before its turn. Requests
 * that would wait too long are refused at once, so that the others are served.
 */
export function decideAdmission({ candidate, firstByteTimeLeftMs }: AdmissionSituation): AdmissionDecision {
  const waitMs = queueWaitMs(candidate);
  const allowedMs = firstByteTimeLeftMs * waitShare;
  return waitMs <= allowedMs ? { kind: 'send' } : { kind: 'refuse', retryAfterMs: waitMs - allowedMs / 2 };
}
