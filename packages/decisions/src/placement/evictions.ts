/** Chooses the replicas to evict so that a load fits. */
import * as queries from './queries.js';
import type { AcceleratorBytes, ModelSettings, ReplicaEntry } from '../Types.js';
import { addBytes, fitBytes, sumBytes } from './fitting.js';
import type { CandidateTarget, PlacementRequest, PlacementView } from './Types.js';

/** Horizon for the probability that a replica is used again, milliseconds. */
const horizonMs = 5 * 60_000;

/** Replicas to evict on one target, with their cost. */
export interface EvictionPlan {
  readonly target: CandidateTarget;
  readonly victims: readonly ReplicaEntry[];
  /** Expected reload time of the evicted replicas, also of candidates that proved unneeded, milliseconds. */
  readonly cost: number;
}

/**
 * Selects victims on one target, cheapest first, until the load fits; undefined if it does not. With `ignoreUse`, the
 * result shows whether the load could fit once the requests in flight have finished.
 */
export function planEviction(
  view: PlacementView,
  request: PlacementRequest,
  target: CandidateTarget,
  use: 'respectUse' | 'ignoreUse' = 'respectUse',
): EvictionPlan | undefined {
  if (use === 'respectUse' && view.nowMs < view.evictAfterMs) {
    return undefined;
  }
  const candidates = queries
    .replicasAt(view.state, target.address)
    .filter((replica) => isEvictable(view, replica, use))
    .map((replica) => ({ replica, cost: evictionCost(view, replica) }))
    .filter((candidate) => Number.isFinite(candidate.cost))
    .sort((first, second) => first.cost - second.cost || first.replica.replica - second.replica.replica);
  let free: AcceleratorBytes = queries.freeBytes(view.state, target.address);
  const victims: ReplicaEntry[] = [];
  let cost = 0;
  for (const candidate of candidates) {
    if (!keepsGuaranteedShare(view, request.settings, victims, candidate.replica)) {
      continue;
    }
    victims.push(candidate.replica);
    cost += candidate.cost * sumBytes(candidate.replica.bytes);
    free = addBytes(free, candidate.replica.bytes);
    if (fitBytes(request.settings, free) !== undefined) {
      return { target, ...withoutUnneededVictims(view, request, target, victims), cost };
    }
  }
  return undefined;
}

/** Whether a replica may be unloaded at present. */
export function isEvictable(
  view: PlacementView,
  replica: ReplicaEntry,
  use: 'respectUse' | 'ignoreUse' = 'respectUse',
): boolean {
  if (replica.state !== 'ready' || hasUnsettledOrder(view, replica)) {
    return false;
  }
  if (use === 'respectUse' && view.usageOf(replica).inFlight > 0) {
    return false;
  }
  const settings = queries.modelSettings(view.state, replica.partner, replica.model);
  if (settings?.version !== replica.version) {
    return true;
  }
  return readyCount(view, replica) > settings.minimumReplicas;
}

/** Whether an order for the replica is unsettled. Such an order reserves memory, so an unload would free nothing. */
export function hasUnsettledOrder(view: PlacementView, replica: ReplicaEntry): boolean {
  return queries.hasOrder(view.state, replica.replica);
}

function readyCount(view: PlacementView, replica: ReplicaEntry): number {
  return queries.replicasOf(view.state, replica).filter((other) => other.state === 'ready').length;
}

/** Reload time multiplied by the probability of use, per byte. */
function evictionCost(view: PlacementView, replica: ReplicaEntry): number {
  const settings = queries.modelSettings(view.state, replica.partner, replica.model);
  if (settings?.version !== replica.version) {
    return 0;
  }
  const probability = view.policy.useProbability(settings, view.usageOf(replica), horizonMs, view.nowMs);
  return (view.expectedLoadMs(settings, replica.target) * probability) / Math.max(1, sumBytes(replica.bytes));
}

/** Whether a partner keeps its guaranteed share of memory if another partner evicts the candidate. */
function keepsGuaranteedShare(
  view: PlacementView,
  settings: ModelSettings,
  victims: readonly ReplicaEntry[],
  candidate: ReplicaEntry,
): boolean {
  const partner = candidate.partner;
  if (partner === settings.partner) {
    return true;
  }
  const evicted = [...victims, candidate].filter((replica) => replica.partner === partner);
  const remainingBytes =
    queries.partnerBytes(view.state, partner) - evicted.reduce((sum, replica) => sum + sumBytes(replica.bytes), 0);
  return remainingBytes >= queries.shareOf(view.state, partner) * queries.cellBytes(view.state);
}

/** Drops victims that are no longer needed because a larger one was added after them. */
function withoutUnneededVictims(
  view: PlacementView,
  request: PlacementRequest,
  target: CandidateTarget,
  victims: readonly ReplicaEntry[],
): { readonly victims: readonly ReplicaEntry[] } {
  let kept = [...victims];
  for (const victim of victims) {
    const rest = kept.filter((other) => other !== victim);
    const free = rest.reduce(
      (sum, replica) => addBytes(sum, replica.bytes),
      queries.freeBytes(view.state, target.address),
    );
    if (fitBytes(request.settings, free) !== undefined) {
      kept = rest;
    }
  }
  return { victims: kept };
}
