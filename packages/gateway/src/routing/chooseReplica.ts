import type { ModelReference, Replica } from '../Types.js';

/** A replica with what this daemon knows of its load. */
export interface Candidate {
  readonly replica: Replica;
  /** Requests on the replica, those of other daemons included as far as known. */
  readonly running: number;
  /** Mean time of a run on the replica, milliseconds. */
  readonly runMs: number;
  /** Recent share of failed sends, 0 to 1. */
  readonly failureShare: number;
  /** True after a connection could not be made, until the replica answers again. */
  readonly isUnreachable: boolean;
  /** The replica has recently read the same prompt parts. */
  readonly hasPromptParts: boolean;
}

/** Slots that a replica with the request's prompt parts may be ahead in load. */
const promptPartsBonusSlots = 2;
/** Slots of load that a replica which fails every send is put back by. */
const failureCostSlots = 40;
/** Slots of load that a replica without connection is put back by: it is tried only if no other is left. */
const unreachableCostSlots = 1_000;
/** Slots of load that another failure domain is put back by, for the bytes between domains are priced. */
const otherDomainCostSlots = 1.5;

/** Slots of random cost for each daemon beyond the first few, and at most. */
const spread = { slotsPerDaemon: 0.02, maximumSlots: 4 } as const;

/**
 * Slots of random cost by which daemons spread their choices. Answers many daemons that choose by the same loads, some
 * hundred milliseconds old: without it all of them send to the replica that was least busy then.
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
 * Chooses the replica of a request: the least loaded share of slots, put back by failures and distance. Answers the
 * usual load and grey failures, where a replica answers its status checks and fails requests. `randomSlots` gives the
 * random part of a cost.
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
  const { replica, running, failureShare, isUnreachable, hasPromptParts } = candidate;
  const overload = Math.max(running - replica.slots, 0) * 10;
  return (
    running +
    overload +
    failureShare * failureCostSlots +
    (isUnreachable ? unreachableCostSlots : 0) +
    (replica.failureDomain === failureDomain ? 0 : otherDomainCostSlots) -
    (hasPromptParts ? promptPartsBonusSlots : 0)
  );
}
