/** Target selection: power of two choices, with a preference for the target that caches the prefix of the prompt. */
import type { RouteCandidate } from './Types.js';

/** A digest has full weight up to this age, because a steady load is reported only every 4 s. */
const digestFreshMs = 5_000;
/** Half-life of the weight of a digest beyond that age. */
const digestHalfLifeMs = 2_000;
/** Slots assumed for a target that has not reported any. */
const assumedSlots = 8;
/** The preferred target is chosen while its load per slot exceeds that of the alternative by at most this much. */
const affinityTolerance = 0.5;

/** Estimated load of a target, in requests per slot. A stale digest has less weight than a fresh one. */
export function estimatedLoad(candidate: RouteCandidate): number {
  const digestWeight = 0.5 ** (Math.max(0, candidate.digestAgeMs - digestFreshMs) / digestHalfLifeMs);
  const slots = candidate.slots > 0 ? candidate.slots : assumedSlots;
  return (candidate.inFlight + digestWeight * candidate.othersInFlight) / slots;
}

/**
 * Chooses a target. `draws` are two random numbers in [0, 1). The preferred target is chosen unless it is considerably
 * more loaded than the less loaded of two random candidates.
 */
export function chooseTarget(
  candidates: readonly RouteCandidate[],
  preferred: string | undefined,
  draws: readonly [number, number],
): RouteCandidate | undefined {
  const usable = reachableFirst(candidates);
  const best = betterOfTwo(usable, draws);
  if (!best || preferred === undefined || preferred === best.target) {
    return best;
  }
  const preferredCandidate = usable.find((candidate) => candidate.target === preferred);
  return preferredCandidate && estimatedLoad(preferredCandidate) <= estimatedLoad(best) + affinityTolerance
    ? preferredCandidate
    : best;
}

/**
 * Unreachable targets are used only if there are no others. They are not excluded, because the daemon that collects the
 * load of a target may be cut off from it while other daemons reach it.
 */
function reachableFirst(candidates: readonly RouteCandidate[]): readonly RouteCandidate[] {
  const reachable = candidates.filter((candidate) => candidate.reachable);
  return reachable.length > 0 ? reachable : candidates;
}

function betterOfTwo(
  candidates: readonly RouteCandidate[],
  draws: readonly [number, number],
): RouteCandidate | undefined {
  const firstIndex = Math.floor(draws[0] * candidates.length);
  const first = candidates[firstIndex];
  if (!first || candidates.length === 1) {
    return first;
  }
  const secondIndex = (firstIndex + 1 + Math.floor(draws[1] * (candidates.length - 1))) % candidates.length;
  const second = candidates[secondIndex];
  return second && estimatedLoad(second) < estimatedLoad(first) ? second : first;
}
