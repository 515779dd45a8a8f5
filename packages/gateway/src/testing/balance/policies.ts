import { selectReplica } from '../../routing/selectReplica.js';
import type { ChoicePolicy } from './BalanceSimulation.js';
import type { SimulatedView } from './SimulatedView.js';

const domainSlots = 1.5;

/** Requests on a replica by the newer report; a replica without a report for 1.5 s counts as idle, as before this work. */
function reportedRunning(view: SimulatedView, index: number, nowMs: number): number {
  const reportMs = view.reportMs[index] ?? 0;
  const isReplicaReport = reportMs > view.leaderMs;
  const ageMs = nowMs - (isReplicaReport ? reportMs : view.leaderMs);
  const total = isReplicaReport ? (view.reportTotals[index] ?? 0) : (view.leaderTotals[index] ?? 0);
  return ageMs < 1_500 ? Math.max(total, view.own[index] ?? 0) : (view.own[index] ?? 0);
}

function countCost(view: SimulatedView, index: number, nowMs: number): number {
  const replica = view.replicas[index];
  const running = reportedRunning(view, index, nowMs);
  const overload = Math.max(running - (replica?.slots ?? 0), 0) * 10;
  return running + overload + (replica?.failureDomain === view.failureDomain ? 0 : domainSlots);
}

function lowest(indexes: readonly number[], cost: (index: number) => number): number {
  let best = indexes[0] ?? 0;
  let bestCost = Number.POSITIVE_INFINITY;
  for (const index of indexes) {
    const own = cost(index);
    if (own < bestCost) {
      best = index;
      bestCost = own;
    }
  }
  return best;
}

/** The choice before this work: the least load with a random cost. */
export const leastLoad: ChoicePolicy = (view, holders, nowMs) => {
  const spread = Math.min(view.daemons * 0.02, 4);
  return lowest(holders, (index) => countCost(view, index, nowMs) + view.random() * spread);
};

/** The least load of some replicas chosen at random. */
export function randomChoices(count: number): ChoicePolicy {
  return (view, holders, nowMs) => {
    const chosen = Array.from({ length: count }, () => holders[Math.floor(view.random() * holders.length)] ?? 0);
    return lowest(chosen, (index) => countCost(view, index, nowMs));
  };
}

/** A share of the slots of each replica for each daemon: the least own requests, without any report. */
export const slotShares: ChoicePolicy = (view, holders) =>
  lowest(
    holders,
    (index) => (view.own[index] ?? 0) / (view.replicas[index]?.slots ?? 1) + view.random() / view.daemons,
  );

/** The least load of a stable subset of the replicas, or of all if the subset is full. */
export function subset(size: number): ChoicePolicy {
  return (view, holders, nowMs) => {
    const ranked = holders.map((index) => ({ index, rank: view.loads.rank(view.replicas[index]?.id ?? '') }));
    const members = ranked.sort((first, second) => first.rank - second.rank).slice(0, size);
    const best = leastLoad(
      view,
      members.map(({ index }) => index),
      nowMs,
    );
    const isFull = reportedRunning(view, best, nowMs) >= (view.replicas[best]?.slots ?? 0);
    return isFull ? leastLoad(view, holders, nowMs) : best;
  };
}

/** The choice of the gateway: expected sends of the other daemons, distributed to equal times to the first event. */
export const expectedSends: ChoicePolicy = (view, holders, nowMs) => {
  const usable = holders.length === view.replicas.length ? view.replicas : holders.map((index) => at(view, index));
  view.loads.updateUtilisation('s', view.replicas, nowMs);
  const selection = {
    service: 's',
    usable,
    modelReference: undefined,
    promptPartIds: [],
    excluded: new Set<string>(),
    failureDomain: view.failureDomain,
    hasConnection: ({ id }: { readonly id: string }) => view.hasConnection(Number(id.slice(1)), nowMs),
    random: view.random,
  };
  const state = { loads: view.loads, rateLimits: { maySend: () => true } };
  const { candidate } = selectReplica(selection, state, { steadyMs: nowMs, wallMs: nowMs });
  return Number(candidate?.replica.id.slice(1));
};

function at({ replicas }: SimulatedView, index: number): SimulatedView['replicas'][number] {
  const replica = replicas[index];
  if (replica === undefined) {
    throw new Error(`no replica ${index}`);
  }
  return replica;
}
