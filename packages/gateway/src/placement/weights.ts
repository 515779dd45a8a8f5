import { CopyIndex } from './CopyIndex.js';
import type { ModelSpecification, WeightTier } from '../Types.js';
import type { Demand, OrderInProgress, PlacedModel, PlacedReplica, PlacementInput } from './Types.js';

/** Memory of a loaded model with its adapters, megabytes. */
export function heldMegabytes(model: PlacedModel, models: ReadonlyMap<string, ModelSpecification>): number {
  const specification = models.get(model.name);
  // The size of a model that is no longer configured is unknown; it counts as the whole memory of the replica.
  return specification === undefined
    ? Number.POSITIVE_INFINITY
    : specification.weightMegabytes + model.adapters.length * specification.adapterMegabytes;
}

/** Free accelerator memory of a replica, megabytes. A load in progress counts as used. */
export function freeMegabytes(replica: PlacedReplica, models: ReadonlyMap<string, ModelSpecification>): number {
  const held = replica.models.reduce((sum, model) => sum + heldMegabytes(model, models), 0);
  const order = replica.order;
  const isNew = order?.kind === 'load' && !replica.models.some((model) => model.name === order.model);
  const loading = isNew ? (models.get(order.model)?.weightMegabytes ?? Number.POSITIVE_INFINITY) : 0;
  return replica.weightMegabytes - held - loading;
}

/** Number of adapters on a replica. */
export function adapterCount(replica: PlacedReplica): number {
  return replica.models.reduce((sum, model) => sum + model.adapters.length, 0);
}

/** Latency targets from this value on leave time for a load from disk, milliseconds. */
export const relaxedLatencyTargetMs = 1_000;
/** Weight of a request that misses its latency target if its model has to be loaded first. */
const tightLatencyWeight = 10;
/** Request rate that a waiting request counts as, requests per second. */
export const ratePerWaitingRequest = 0.25;

/** Weight of a model's requests: requests that cannot wait for a load have a higher weight. */
export function requestWeight(demand: ModelDemand | undefined): number {
  return (demand?.latencyTargetMs ?? relaxedLatencyTargetMs) < relaxedLatencyTargetMs ? tightLatencyWeight : 1;
}

/** A model may be unloaded for another one whose demand is at least this share of its own. */
export const displacingShare = 0.5;

/** Gain of having a model ready, in weighted requests per second. */
export function gainOf(demand: ModelDemand | undefined): number {
  return ((demand?.ratePerSecond ?? 0) + (demand?.waiting ?? 0) * ratePerWaitingRequest) * requestWeight(demand);
}

/** Gain of having a model ready for streams that have begun: their callers leave soon, and have a part already. */
export function gainForStreams(demand: ModelDemand | undefined): number {
  return gainOf(demand) * (tightLatencyWeight / requestWeight(demand));
}

/** Models that requests wait for, in the order in which the requests miss their latency targets. */
export function waitingModels(demands: ReadonlyMap<string, ModelDemand>): readonly (readonly [string, ModelDemand])[] {
  const waiting = [...demands].filter(([, demand]) => demand.waiting > 0);
  return waiting.sort(([, first], [, second]) => first.slackMs - second.slackMs);
}

/** Time for which the present request rate predicts the requests to come, milliseconds: the time constant of the rates. */
const predictedMs = 4_000;

/**
 * Gain of a load from the weight store, in callers that it serves. A waiting caller counts if it still waits when the
 * load has ended, and more the longer requests have waited for the model, so that no model waits without end while
 * others are requested anew. Of the callers to come, those count that arrive late enough in the load to see its end.
 */
export function storeGainOf(demand: ModelDemand, loadMs: number): number {
  const { waiting, waitingTimeoutMs = loadMs, callerTimeoutMs = loadMs, ratePerSecond } = demand;
  const served = waitingTimeoutMs < loadMs ? 0 : waiting;
  const ageFactor = 1 + Math.min(demand.unservedMs, loadMs) / predictedMs;
  const predicted = (ratePerSecond * predictedMs) / 1000;
  return served * ageFactor + predicted * Math.min(callerTimeoutMs / loadMs, 1);
}

/** Factor by which the gain of another load must exceed that of the load that callers were promised. */
const promisedFactor = 2;

/**
 * Candidates for a load from the weight store with their gain, in descending order of gain: models that requests wait
 * for, and requested models that no replica has. Requests for the latter are often refused at once, so none may be
 * waiting. `next` contains the models that were first in the previous plan: the times to return of their callers rest
 * on it, and a single request for another model must not take their load.
 */
export function storeCandidates(
  demands: ReadonlyMap<string, ModelDemand>,
  copies: CopyIndex,
  models: ReadonlyMap<string, ModelSpecification>,
  next: ReadonlySet<string> = new Set(),
): readonly (readonly [string, number])[] {
  const candidates = [...demands].filter(([model, demand]) => demand.waiting > 0 || !copies.hasAnyCopy(model));
  const gains = candidates.map(([model, demand]) => {
    const gain = storeGainOf(demand, Math.max(models.get(model)?.loadMs.store ?? 0, 1));
    return [model, gain * (next.has(model) ? promisedFactor : 1)] as const;
  });
  return gains.sort(([, first], [, second]) => second - first);
}

/** Models without a copy that the store loads next, as many as it loads at once, if requests wait for them. */
export function nextStoreLoads(input: PlacementInput): ReadonlySet<string> {
  const demands = demandByModel(input.demands);
  const copies = new CopyIndex(input.replicas);
  const missing = storeCandidates(demands, copies, input.models, input.nextStoreLoads)
    .map(([model]) => model)
    .filter((model) => !copies.hasAnyCopy(model));
  const next = missing.slice(0, input.maximumStoreLoads);
  return new Set(next.filter((model) => (demands.get(model)?.waiting ?? 0) > 0));
}

/** Fastest tier from which a replica can load a model. */
export function loadTier(replica: PlacedReplica, model: string): WeightTier {
  if (replica.inMemory.has(model)) {
    return 'memory';
  }
  return replica.onDisk.has(model) ? 'disk' : 'store';
}

/** Demand for a model with all its adapters. */
export interface ModelDemand {
  readonly waiting: number;
  readonly slackMs: number;
  readonly requiredVersions: readonly string[];
  readonly unservedMs: number;
  readonly ratePerSecond: number;
  readonly latencyTargetMs: number;
  /** Longest time that one of the waiting requests can still wait, milliseconds. Absent if no daemon reports it. */
  readonly waitingTimeoutMs?: number;
  /** Mean time that callers wait for the first byte, milliseconds. Absent if no daemon reports it. */
  readonly callerTimeoutMs?: number;
}

/** Sums the demand for each model and its adapters. */
export function demandByModel(demands: readonly Demand[]): ReadonlyMap<string, ModelDemand> {
  const sums = new Map<string, ModelDemand>();
  for (const demand of demands) {
    const sum = sums.get(demand.modelReference.model);
    sums.set(demand.modelReference.model, {
      waiting: (sum?.waiting ?? 0) + demand.waiting,
      slackMs: Math.min(sum?.slackMs ?? Number.POSITIVE_INFINITY, demand.slackMs),
      requiredVersions: [...new Set([...(sum?.requiredVersions ?? []), ...demand.requiredVersions])],
      unservedMs: Math.max(sum?.unservedMs ?? 0, demand.unservedMs),
      ratePerSecond: (sum?.ratePerSecond ?? 0) + demand.ratePerSecond,
      latencyTargetMs: Math.min(sum?.latencyTargetMs ?? Number.POSITIVE_INFINITY, demand.latencyTargetMs),
      ...longest('waitingTimeoutMs', sum, demand),
      ...longest('callerTimeoutMs', sum, demand),
    });
  }
  return sums;
}

/** The longer of two times, of which both may be absent. */
function longest<Key extends 'waitingTimeoutMs' | 'callerTimeoutMs'>(
  key: Key,
  ...demands: readonly (Partial<Record<Key, number>> | undefined)[]
): Partial<Record<Key, number>> {
  const times = demands.flatMap((demand) => demand?.[key] ?? []);
  return times.length === 0 ? {} : ({ [key]: Math.max(...times) } as Record<Key, number>);
}

/** True if a replica is loading a model, not only an adapter, from the weight store. */
export function isLoadingFromStore({ order }: { readonly order?: OrderInProgress | undefined }): boolean {
  return order !== undefined && isStoreLoad(order);
}

/** True if an order loads a model, not only an adapter, from the weight store. */
export function isStoreLoad({ kind, tier, adapter }: Pick<OrderInProgress, 'kind' | 'tier' | 'adapter'>): boolean {
  return kind === 'load' && tier === 'store' && adapter === undefined;
}
