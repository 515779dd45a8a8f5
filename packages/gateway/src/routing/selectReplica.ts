import type { ReplicaRateLimits } from '../rateLimits/ReplicaRateLimits.js';
import type { Instant, ModelReference, Replica } from '../Types.js';
import { type Candidate, chooseReplica, holdsModel } from './chooseReplica.js';
import { queueWaitMs } from './decideAdmission.js';
import type { ReplicaLoads } from './ReplicaLoads.js';

/** A request that needs a replica. */
export interface Selection {
  readonly service: string;
  /** Replicas of its service that accept new requests. */
  readonly usable: readonly Replica[];
  readonly modelReference: ModelReference | undefined;
  readonly promptPartIds: readonly string[];
  /** Replicas on which the request has just failed. */
  readonly excluded: ReadonlySet<string>;
  readonly failureDomain: string;
  /** True if the request could use an idle connection to the replica. */
  readonly hasConnection: (replica: Replica) => boolean;
  /** Random number from 0 to below 1. */
  readonly random: () => number;
}

/** The load and the rate limits of replicas. */
export interface ReplicaState {
  readonly loads: ReplicaLoads;
  readonly rateLimits: Pick<ReplicaRateLimits, 'maySend'>;
}

/** Result of a selection. */
export interface SelectionResult {
  /** The replica to use; absent if no replica is suitable. */
  readonly candidate?: Candidate;
  /** The replica with the shortest queue, if the one to use has a queue: a request is refused only if this one is too long. */
  readonly shortestQueue?: Candidate;
  /** Replicas with a rate limit that are suitable except that this daemon has no permit for them. */
  readonly withoutPermit: readonly Candidate[];
  /** The replica that would be used if no permits were needed, if it is one of those without a permit. */
  readonly preferredWithoutPermit?: Replica;
}

/**
 * Number of replicas that a choice compares. Of larger services a daemon uses its own subset first, which limits the
 * work for a request and the number of connections. It is stable when other replicas join and leave.
 */
const subsetSize = 64;
/** Failure share from which a replica of the subset is compared with those outside. */
const faultyShare = 0.3;

/**
 * Selects the replica of a request, with its load. A request for a model is not sent to a replica where it has just
 * failed or which is unreachable: it waits, as the model may be loaded elsewhere. Other requests may be sent to such
 * replicas. No request is sent to a replica that currently refuses the requests of this daemon, or to one with a rate
 * limit without a permit. All replicas are compared unless one of the daemon's subset has a free slot.
 */
export function selectReplica(selection: Selection, state: ReplicaState, now: Instant): SelectionResult {
  const { loads } = state;
  const { usable, modelReference, excluded } = selection;
  loads.updateUtilisation(selection.service, usable, now.steadyMs);
  const holders = usable.filter((replica) => mayServe(replica, modelReference, loads, now.steadyMs));
  const notExcluded = holders.filter((replica) => !excluded.has(replica.id));
  const eligible = notExcluded.length > 0 || modelReference !== undefined ? notExcluded : holders;
  if (eligible.length > subsetSize) {
    const largestRank = subsetSize / eligible.length;
    const subset = eligible.filter(({ id }) => loads.rank(id) < largestRank);
    const result = selectAmong(subset, selection, state, now);
    if (result.candidate !== undefined && isFree(result.candidate) && result.withoutPermit.length === 0) {
      return result;
    }
  }
  return selectAmong(eligible, selection, state, now);
}

function selectAmong(
  eligible: readonly Replica[],
  selection: Selection,
  { loads, rateLimits }: ReplicaState,
  now: Instant,
): SelectionResult {
  const { modelReference, promptPartIds, failureDomain, hasConnection, random } = selection;
  const candidates = eligible.map((replica) =>
    loads.candidate(replica, promptPartIds, now.steadyMs, hasConnection(replica)),
  );
  const reachable =
    modelReference === undefined ? candidates : candidates.filter((candidate) => !candidate.isUnreachable);
  const permitted = reachable.filter(({ replica }) => rateLimits.maySend(replica.id, now));
  const candidate = chooseReplica(permitted, failureDomain, random);
  const shortestQueue = candidate === undefined || queueWaitMs(candidate) === 0 ? undefined : shortestOf(permitted);
  const chosen = { ...(candidate && { candidate }), ...(shortestQueue && { shortestQueue }) };
  if (permitted.length === reachable.length) {
    return { ...chosen, withoutPermit: [] };
  }
  const withoutPermit = reachable.filter((one) => !permitted.includes(one));
  const preferred = chooseReplica(reachable, failureDomain, random);
  return {
    ...chosen,
    withoutPermit,
    ...(preferred && withoutPermit.includes(preferred) && { preferredWithoutPermit: preferred.replica }),
  };
}

function shortestOf(candidates: readonly Candidate[]): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>(
    (best, one) => (best === undefined || queueWaitMs(one) < queueWaitMs(best) ? one : best),
    undefined,
  );
}

/** True if a replica holds the model of a request and does not currently refuse the requests of this daemon. */
function mayServe(
  replica: Replica,
  modelReference: ModelReference | undefined,
  loads: ReplicaLoads,
  nowMs: number,
): boolean {
  return (
    holdsModel(replica, modelReference) &&
    loads.backoffMs(replica.id, nowMs) === 0 &&
    !loads.absentModels.isAbsent(replica, modelReference)
  );
}

function isFree({ running, replica, isUnreachable, failureShare }: Candidate): boolean {
  return running + 1 <= replica.slots && !isUnreachable && failureShare < faultyShare;
}

/**
 * Shortest time until a replica that holds the model of a request and currently refuses the requests of this daemon
 * accepts them again, milliseconds; undefined if there is no such replica.
 */
export function shortestBackoffMs(
  { usable, modelReference }: Pick<Selection, 'usable' | 'modelReference'>,
  loads: ReplicaLoads,
  nowMs: number,
): number | undefined {
  const holders = usable.filter(
    (replica) => holdsModel(replica, modelReference) && !loads.absentModels.isAbsent(replica, modelReference),
  );
  const times = holders.map((replica) => loads.backoffMs(replica.id, nowMs)).filter((timeMs) => timeMs > 0);
  return times.length === 0 ? undefined : Math.min(...times);
}
