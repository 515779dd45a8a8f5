import type { Candidate } from './chooseReplica.js';

/** A replica that a request could be sent to, and the time that its caller waits for the first byte. */
export interface AdmissionSituation {
  readonly candidate: Pick<Candidate, 'running' | 'runMs'> & { readonly replica: { readonly slots: number } };
  /** Milliseconds. */
  readonly firstByteTimeLeftMs: number;
}

/** Whether a request is sent. A refusal says when there will be room. */
export type AdmissionDecision = { readonly kind: 'send' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Share of a caller's patience that the wait in a replica's queue may take: loads are known late. */
const waitShare = 0.8;

/**
 * Decides whether a request joins the queue of the best replica for it. Answers the load of a model that is asked for
 * faster than its copies run: a queue that is longer than callers wait serves none of them, since each leaves just before
 * its turn. Requests that would wait too long are refused at once, so that the others are served.
 */
export function decideAdmission({ candidate, firstByteTimeLeftMs }: AdmissionSituation): AdmissionDecision {
  const { running, runMs, replica } = candidate;
  const queued = Math.max(running + 1 - replica.slots, 0);
  const waitMs = (queued * runMs) / Math.max(replica.slots, 1);
  const allowedMs = firstByteTimeLeftMs * waitShare;
  return waitMs <= allowedMs ? { kind: 'send' } : { kind: 'refuse', retryAfterMs: waitMs - allowedMs / 2 };
}
