import type { ModelReference, Replica } from '../Types.js';
import { type FillOption, fillToLevel } from './fillToLevel.js';

/** A replica with its load and health as known to this daemon. */
export interface Candidate {
  readonly replica: Replica;
  /** Expected number of requests on the replica, including those of other daemons. */
  readonly running: number;
  /** The part of `running` that is known: this daemon's requests and the part of the report that is not outdated. */
  readonly knownRunning: number;
  /** Time since the report on which `knownRunning` is based, milliseconds; infinite without a report. */
  readonly reportAgeMs: number;
  /** Expected run time on the replica, milliseconds. */
  readonly runMs: number;
  /** Expected run time relative to the mean of the replicas. */
  readonly slowness: number;
  /** Share of recent attempts that failed, 0 to 1. */
  readonly failureShare: number;
  /** True for some time after a failed connection, or until the replica answers again. */
  readonly isUnreachable: boolean;
  /** True if the replica has recently processed the same prompt parts. */
  readonly hasPromptParts: boolean;
  /** True if the request could use an idle connection to the replica. */
  readonly hasConnection: boolean;
}

/** Cost bonus of a replica that has processed the request's prompt parts, in slots. */
const promptPartsBonusSlots = 2;
/** Cost of a replica that fails every attempt, in slots. */
const failureCostSlots = 40;
/** Cost of an unreachable replica, in slots: it is chosen only if there is no other. */
const unreachableCostSlots = 1_000;
/** Cost of a replica in another failure domain, in slots: traffic between domains is billed. */
const otherDomainCostSlots = 1.5;
/**
 * Time to the first event without a queue, as a share of the run time. Larger shares leave the faster replicas without
 * free slots when reports are old.
 */
const firstEventShare = 0.05;
/**
 * Cost of a running request while slots are free, as a share of what a request in the queue costs. It stands for the
 * chance that the slots fill up before the request arrives.
 */
const crowdingShare = 0.3;
/**
 * Factors of the probability of a replica that suits this daemon or request. They apply only among replicas that are
 * short of requests, and differ between daemons, so that the load remains even.
 */
const preferenceFactors = { connection: 16, promptParts: 20, sameDomain: 4 } as const;
/**
 * Utilisation from which the factor of a connection applies in full. At less load a new connection delays nobody, and a
 * daemon that keeps to a few replicas would not notice changes of the others.
 */
const connectionUtilisation = 0.5;

/** True if a replica holds the model and adapter of a request. */
export function holdsModel(replica: Replica, modelReference: ModelReference | undefined): boolean {
  if (modelReference === undefined) {
    return true;
  }
  const held = replica.models.find((model) => model.name === modelReference.model);
  return held !== undefined && (modelReference.adapter === undefined || held.adapters.includes(modelReference.adapter));
}

/**
 * Chooses a replica by the expected time to the first event. Many daemons choose by the same outdated loads, so the
 * lowest cost alone would send them all to one replica. Instead, the requests that all daemons are expected to have sent
 * since the reports are distributed so that the costs become equal, and the request follows this distribution: a
 * replica is chosen with the probability of its part. With fresh reports or a single daemon this is the lowest cost.
 * With old reports it is a distribution by capacity.
 */
export function chooseReplica(
  candidates: readonly Candidate[],
  failureDomain: string,
  random: () => number,
): Candidate | undefined {
  if (candidates.length < 2) {
    return candidates[0];
  }
  let sends = 1;
  let running = 0;
  let slots = 0;
  const options = candidates.map((candidate) => {
    sends += candidate.running - candidate.knownRunning;
    running += candidate.running;
    slots += candidate.replica.slots;
    return fillOption(candidate, failureDomain);
  });
  const weights = fillToLevel(options, sends);
  const connectionShare = Math.min(running / (Math.max(slots, 1) * connectionUtilisation), 1);
  let total = 0;
  for (const [index, candidate] of candidates.entries()) {
    const weight = (weights[index] ?? 0) * preference(candidate, failureDomain, connectionShare);
    weights[index] = weight;
    total += weight;
  }
  let position = random() * total;
  return candidates.find((_, index) => (position -= weights[index] ?? 0) < 0) ?? candidates[0];
}

function fillOption(candidate: Candidate, failureDomain: string): FillOption {
  const { replica, knownRunning, runMs, slowness } = candidate;
  const slots = Math.max(replica.slots, 1);
  const slotMs = runMs / slots;
  return {
    running: knownRunning,
    slots,
    fixedMs: runMs * firstEventShare + (penaltySlots(candidate, failureDomain) * crowdingShare * slotMs) / slowness,
    runningMs: slotMs * crowdingShare,
    queuedMs: slotMs,
  };
}

/** Costs that do not depend on the load, in slots of a replica of usual speed. */
function penaltySlots(candidate: Candidate, failureDomain: string): number {
  const { replica, failureShare, isUnreachable, hasPromptParts } = candidate;
  return (
    failureShare * failureCostSlots +
    (isUnreachable ? unreachableCostSlots : 0) +
    (replica.failureDomain === failureDomain ? 0 : otherDomainCostSlots) -
    (hasPromptParts ? promptPartsBonusSlots : 0)
  );
}

function preference(candidate: Candidate, failureDomain: string, connectionShare: number): number {
  const { replica, hasConnection, hasPromptParts } = candidate;
  return (
    (hasConnection ? 1 + (preferenceFactors.connection - 1) * connectionShare : 1) *
    (hasPromptParts ? preferenceFactors.promptParts : 1) *
    (replica.failureDomain === failureDomain ? preferenceFactors.sameDomain : 1)
  );
}
