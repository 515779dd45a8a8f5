import type { ReplicaRateLimits } from '../rateLimits/ReplicaRateLimits.js';
import type { Instant, ModelReference, Replica } from '../Types.js';
import { type Candidate, chooseReplica, holdsModel } from './chooseReplica.js';
import type { ReplicaLoads } from './ReplicaLoads.js';

/** A request that needs a replica. */
export interface Selection {
  /** Replicas of its service that accept new requests. */
  readonly usable: readonly Replica[];
  readonly modelReference: ModelReference | undefined;
  readonly promptPartIds: readonly string[];
  /** Replicas on which the request has just failed. */
  readonly excluded: ReadonlySet<string>;
  readonly failureDomain: string;
  /** Random part of a replica's cost, in slots; larger if many daemons choose by the same loads. */
  readonly randomSlots: () => number;
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
  /** Replicas with a rate limit that are suitable except that this daemon has no permit for them. */
  readonly withoutPermit: readonly Candidate[];
  /** The replica that would be used if no permits were needed, if it is one of those without a permit. */
  readonly preferredWithoutPermit?: Replica;
}

/**
 * Selects the replica of a request, with its load. A request for a model is not sent to a replica where it has just
 * failed or which is unreachable: it waits, as the model may be loaded elsewhere. Other requests may be sent to such
 * replicas. No request is sent to a replica that currently refuses the requests of this daemon, or to one with a rate
 * limit without a permit.
 */
export function selectReplica(
  selection: Selection,
  { loads, rateLimits }: ReplicaState,
  now: Instant,
): SelectionResult {
  const { usable, modelReference, promptPartIds, excluded, failureDomain, randomSlots } = selection;
  const holders = usable.filter(
    (replica) => holdsModel(replica, modelReference) && loads.backoffMs(replica.id, now.steadyMs) === 0,
  );
  const notExcluded = holders.filter((replica) => !excluded.has(replica.id));
  const eligible = notExcluded.length > 0 || modelReference !== undefined ? notExcluded : holders;
  const candidates = eligible.map((replica) => loads.candidate(replica, promptPartIds, now.steadyMs));
  const reachable =
    modelReference === undefined ? candidates : candidates.filter((candidate) => !candidate.isUnreachable);
  const permitted = reachable.filter(({ replica }) => rateLimits.maySend(replica.id, now));
  const candidate = chooseReplica(permitted, failureDomain, randomSlots);
  if (permitted.length === reachable.length) {
    return { ...(candidate && { candidate }), withoutPermit: [] };
  }
  const withoutPermit = reachable.filter((one) => !permitted.includes(one));
  const preferred = chooseReplica(reachable, failureDomain, randomSlots);
  return {
    ...(candidate && { candidate }),
    withoutPermit,
    ...(preferred && withoutPermit.includes(preferred) && { preferredWithoutPermit: preferred.replica }),
  };
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
  const holders = usable.filter((replica) => holdsModel(replica, modelReference));
  const times = holders.map((replica) => loads.backoffMs(replica.id, nowMs)).filter((timeMs) => timeMs > 0);
  return times.length === 0 ? undefined : Math.min(...times);
}
