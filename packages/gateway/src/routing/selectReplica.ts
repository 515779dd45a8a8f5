import type { ModelReference, Replica } from '../Types.js';
import { type Candidate, chooseReplica, holdsModel } from './chooseReplica.js';
import type { ReplicaLoads } from './ReplicaLoads.js';

/** A request that needs a replica. */
export interface Selection {
  /** Replicas of its service that take new work. */
  readonly usable: readonly Replica[];
  readonly modelReference: ModelReference | undefined;
  readonly promptParts: readonly string[];
  /** Replicas that have just failed it. */
  readonly excluded: ReadonlySet<string>;
  readonly failureDomain: string;
  /** Random part of a replica's cost, slots; larger where many daemons choose by the same loads. */
  readonly randomSlots: () => number;
}

/**
 * Selects the replica of a request with its load; undefined if none will do. A request for a model waits rather than go where it has
 * just failed or where no connection can be made, as the model may be loaded elsewhere; another request goes anywhere.
 * No request goes to a replica that has turned this daemon away for a time.
 */
export function selectReplica(selection: Selection, loads: ReplicaLoads, nowMs: number): Candidate | undefined {
  const { usable, modelReference, promptParts, excluded, failureDomain, randomSlots } = selection;
  const holders = usable.filter(
    (replica) => holdsModel(replica, modelReference) && loads.backoffMs(replica.id, nowMs) === 0,
  );
  const notExcluded = holders.filter((replica) => !excluded.has(replica.id));
  const eligible = notExcluded.length > 0 || modelReference !== undefined ? notExcluded : holders;
  const candidates = eligible.map((replica) => loads.candidate(replica, promptParts, nowMs));
  const reachable =
    modelReference === undefined ? candidates : candidates.filter((candidate) => !candidate.isUnreachable);
  return chooseReplica(reachable, failureDomain, randomSlots);
}

/**
 * Time until the first replica takes requests again that holds what a request needs and has turned this daemon away,
 * milliseconds; undefined if there is none.
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
