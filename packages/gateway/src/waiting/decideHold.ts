import { firstEventReserveMs } from './decideReturn.js';

/** A request whose best replica may be full. */
export interface HoldSituation {
  /** True if the tenant of the request sends more than its share. */
  readonly exceedsShare: boolean;
  /** True while requests of such tenants are held for the same replicas, and it is not the turn of this one. */
  readonly othersAreHeld: boolean;
  /** Requests on the best replica, as far as known. */
  readonly running: number;
  readonly slots: number;
  /** Time from the start of the run until the first byte, milliseconds. */
  readonly firstByteAfterMs: number;
  readonly firstByteTimeLeftMs: number;
}

/** Whether a request is sent, held at the daemon until a replica has a free slot, or refused. */
export type HoldDecision = 'send' | 'hold' | 'refuse';

/**
 * Decides whether a request is held while all replicas are full. Replicas admit by urgency themselves, so that requests
 * are sent in general: many daemons with outdated reports leave slots idle if they hold all requests, and their turns mix the
 * urgencies. Within one urgency replicas serve in order of arrival, so that a tenant with many times its usual rate
 * takes the slots of all others. Only its requests are held.
 */
export function decideHold(situation: HoldSituation): HoldDecision {
  const { exceedsShare, othersAreHeld, running, slots, firstByteAfterMs, firstByteTimeLeftMs } = situation;
  if (!exceedsShare || (running < slots && !othersAreHeld)) {
    return 'send';
  }
  return firstByteTimeLeftMs >= firstByteAfterMs + firstEventReserveMs ? 'hold' : 'refuse';
}
