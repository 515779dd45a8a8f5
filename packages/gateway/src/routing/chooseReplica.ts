import type { ModelReference, Replica } from '../Types.js';

/** A replica with its load and health as known to this daemon. */
export interface Candidate {
  readonly replica: Replica;
  /** Requests on the replica, including those of other daemons as far as known. */
  readonly running: number;
  /** How much longer work takes on the replica than in the mean of its service; 1 is the mean. */
  readonly slowness: number;
  /** Mean run time on the replica, milliseconds. */
  readonly runMs: number;
  /** Share of recent attempts that failed, 0 to 1. */
  readonly failureShare: number;
  /** True for some time after a failed connection, or until the replica answers again. */
  readonly isUnreachable: boolean;
  /** True if the replica has recently processed the same prompt parts. */
  readonly hasPromptParts: boolean;
}

/** Cost bonus of a replica that has processed the request's prompt parts, in slots. */
const promptPartsBonusSlots = 2;
/** Cost of a replica that fails every attempt, in slots. */
const failureCostSlots = 40;
/** Cost of a replica on which work takes twice as long as in the mean, beyond that of its requests, in slots. */
const slownessCostSlots = 6;
/** Cost of an unreachable replica, in slots: it is chosen only if there is no other. */
const unreachableCostSlots = 1_000;
/** Cost of a replica in another failure domain, in slots: traffic between domains is billed. */
const otherDomainCostSlots = 1.5;

/** Random cost in slots: the amount for each daemon, and the maximum. */
const spread = { slotsPerDaemon: 0.02, maximumSlots: 4 } as const;

/**
 * Maximum random cost by which daemons spread their choices, in slots. Many daemons choose by the same loads, which are
 * some hundred milliseconds old; without it all of them would choose the replica that was least busy at that time.
 */
export function spreadSlots(daemonCount: number): number {
  return Math.min(daemonCount * spread.slotsPerDaemon, spread.maximumSlots);
}

/** True if a replica holds the model and adapter of a request. */
export function holdsModel(replica: Replica, modelReference: ModelReference | undefined): boolean {
  if (modelReference === undefined) {
    return true;
  }
  const held = replica.models.find((model) => model.name === modelReference.model);
  return held !== undefined && (modelReference.adapter === undefined || held.adapters.includes(modelReference.adapter));
}

/**
 * Chooses the replica with the lowest cost for a request: its running requests, plus costs for overload, failures and
 * another failure domain. The failure share covers gray failures, where a replica passes its status checks but fails
 * requests. `randomSlots` returns the random part of a cost.
 */
export function chooseReplica(
  candidates: readonly Candidate[],
  failureDomain: string,
  randomSlots: () => number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, failureDomain) + randomSlots();
    if (cost < bestCost) {
      best = candidate;
      bestCost = cost;
    }
  }
  return best;
}

function costOf(candidate: Candidate, failureDomain: string): number {
  const { replica, running, slowness, failureShare, isUnreachable, hasPromptParts } = candidate;
  const overload = Math.max(running - replica.slots, 0) * 10;
  return (
    running * slowness +
    (slowness - 1) * slownessCostSlots +
    overload +
    failureShare * failureCostSlots +
    (isUnreachable ? unreachableCostSlots : 0) +
    (replica.failureDomain === failureDomain ? 0 : otherDomainCostSlots) -
    (hasPromptParts ? promptPartsBonusSlots : 0)
  );
}
