import type { ModelReference, Replica } from '../Types.js';
import { chooseReplica, holdsTarget } from './chooseReplica.js';
import type { ReplicaLoads } from './ReplicaLoads.js';

/** A request that needs a replica. */
export interface Selection {
  /** Replicas of its service that take new work. */
  readonly usable: readonly Replica[];
  readonly target: ModelReference | undefined;
  readonly promptParts: readonly string[];
  /** Replicas that have just failed it. */
  readonly excluded: ReadonlySet<string>;
  readonly failureDomain: string;
}

/**
 * Selects the replica of a request; undefined if none will do. A request for a model waits rather than go where it has
 * just failed or where no connection can be made, as the model may be loaded elsewhere; another request goes anywhere.
 */
export function selectReplica(selection: Selection, loads: ReplicaLoads, nowMs: number): Replica | undefined {
  const { usable, target, promptParts, excluded, failureDomain } = selection;
  const holders = usable.filter((replica) => holdsTarget(replica, target));
  const fresh = holders.filter((replica) => !excluded.has(replica.id));
  const eligible = fresh.length > 0 || target !== undefined ? fresh : holders;
  const candidates = eligible.map((replica) => loads.candidate(replica, promptParts, nowMs));
  const reachable = target === undefined ? candidates : candidates.filter((candidate) => !candidate.isUnreachable);
  return chooseReplica(reachable, failureDomain)?.replica;
}
