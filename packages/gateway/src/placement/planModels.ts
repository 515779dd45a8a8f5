import type { ModelSpecification, WeightTier } from '../Types.js';
import type {
  PlacedModel,
  PlacedReplica,
  PlacementInput,
  PlacementPlan,
  PlannedClearing,
  PlannedOrder,
} from './Types.js';
import { CopyIndex } from './CopyIndex.js';
import { exceedsRateLimit } from './rateLimits.js';
import { type LoadOption, LoadOptions } from './LoadOptions.js';
import { type HotModel, overloaded, type StoreCandidate } from './hotModels.js';
import {
  demandByModel,
  displacingShare,
  gainForStreams,
  gainOf,
  isLoadingFromStore,
  loadTier,
  type ModelDemand,
  relaxedLatencyTargetMs,
  requestWeight,
  storeCandidates,
  waitingModels,
  ratePerWaitingRequest,
} from './weights.js';

/** Requests overdue by more than this no longer wait for a replica with local weights to free memory, milliseconds. */
const copyTimeoutMs = 4_000;
/** The same for requests with a tight latency target, whose callers disconnect soon. */
const tightLatencyCopyTimeoutMs = 1_000;
/** Share of occupied slots above which a model gets another copy. */
const secondCopyUtilization = 0.6;
/** Slowness of a hot model's fastest copy from which a faster one is loaded, and the largest share of it that is faster. */
const slowCopy = { slowness: 1.2, improvement: 0.75 } as const;
/** Request rate above which a model is hot, requests per second. */
const hotRate = 1;

/** A store load with more remaining time than this does not prevent a load from local weights, milliseconds. */
const longLoadMs = 1_500;
/** Time in which requests that were sent before a model retired are reported, milliseconds. */
const reportDelayMs = 250;
/** Clearing for a model ends below this request rate if no request waits for the model, requests per second. */
const minimumClearingRate = 0.1;

type WaitingModel = readonly [string, ModelDemand];

/** Restricts the replicas on which a model may be loaded. */
interface LoadConstraints {
  /** Only replicas that can load it at once. */
  readonly idleVictimsOnly?: boolean;
  /** True if streams that have begun wait for the model. */
  readonly hasBegunStreams?: boolean;
  readonly isEligible?: (replica: PlacedReplica) => boolean;
}

/**
 * Decides which models to load and unload now, for a workload of many rarely used models and a few hot ones. A model
 * that requests wait for is loaded on the replica where the load time and the cost of evictions are lowest. The few
 * loads that the weight store sustains are used for models that no replica has a copy of.
 */
export function planModels(
  input: PlacementInput,
  nowMs: number,
  reservedIds: ReadonlySet<string> = new Set(),
): PlacementPlan {
  return new ModelPlan(input, nowMs, reservedIds).build();
}

class ModelPlan {
  private readonly _demand: ReadonlyMap<string, ModelDemand>;
  private readonly _orders: PlannedOrder[] = [];
  private readonly _clearings: PlannedClearing[] = [];
  private readonly _releases: string[] = [];
  private readonly _reservedIds: Set<string>;
  private readonly _copies: CopyIndex;
  private readonly _options: LoadOptions;
  private _storeLoads: number;

  public constructor(
    private readonly _input: PlacementInput,
    private readonly _nowMs: number,
    reservedIds: ReadonlySet<string>,
  ) {
    this._reservedIds = new Set(reservedIds);
    this._copies = new CopyIndex(_input.replicas);
    this._demand = demandByModel(_input.demands);
    this._options = new LoadOptions(_input, this._demand, this._copies, _nowMs);
    this._storeLoads = _input.replicas.filter(
      (replica) => isLoadingFromStore(replica) || replica.hasFormerOrder,
    ).length;
  }

  public build(): PlacementPlan {
    for (const replica of this._input.replicas) {
      if (replica.clearingFor !== undefined && this._isAvailable(replica)) {
        this._continueClearing(replica, replica.clearingFor);
      }
    }
    const waiting = waitingModels(this._demand);
    this._loadFromLocalWeights(waiting);
    const hot = this._hotModels();
    this._addSecondCopies(hot);
    if (this._input.mayLoadMissing) {
      this._loadFromStore(hot);
      this._loadMissing();
    }
    return { orders: this._orders, clearings: this._clearings, releases: this._releases };
  }

  /** Continues to clear a replica for a model: unloads the retiring models once they are idle, then loads the model. */
  private _continueClearing(replica: PlacedReplica, model: string): void {
    const specification = this._input.models.get(model);
    if (specification === undefined || this._hasLittleDemand(model) || this._isRetiringModelNeeded(replica, model)) {
      this._release(replica);
      return;
    }
    const retiring = replica.models.filter((held) => held.retiringSinceMs !== undefined);
    if (retiring.length === 0) {
      const option = this._options.option(replica, specification);
      if (option === undefined) {
        this._release(replica);
      } else {
        this._order(option, specification, 'waiting');
      }
    } else if (retiring.every((held) => this._isDrained(held))) {
      this._order({ replica, tier: loadTier(replica, model), victims: retiring, costMs: 0 }, specification, 'waiting');
    }
  }

  private _release(replica: PlacedReplica): void {
    this._releases.push(replica.id);
    this._reservedIds.add(replica.id);
  }

  private _hasLittleDemand(model: string): boolean {
    const demand = this._demand.get(model);
    return (demand?.waiting ?? 0) === 0 && (demand?.ratePerSecond ?? 0) < minimumClearingRate;
  }

  /** True if the demand for a retiring model now exceeds the demand for the model that the replica is cleared for. */
  private _isRetiringModelNeeded(replica: PlacedReplica, model: string): boolean {
    const gain = gainOf(this._demand.get(model));
    const isNeeded = (held: PlacedModel): boolean =>
      held.retiringSinceMs !== undefined &&
      (this._isNeededForStreams(replica, held.name, gain) || this._isNeededForRequests(held.name, gain));
    return replica.models.some(isNeeded);
  }

  /** True if streams that have begun wait for a model which only this replica of their version has. */
  private _isNeededForStreams({ softwareVersion }: PlacedReplica, model: string, otherGain: number): boolean {
    const demand = this._demand.get(model);
    const hasOtherCopy = this._copies.ready(model).some((other) => other.softwareVersion === softwareVersion);
    const isWaitedFor = demand?.requiredVersions.includes(softwareVersion) === true;
    return isWaitedFor && !hasOtherCopy && gainForStreams(demand) > otherGain;
  }

  private _isNeededForRequests(model: string, otherGain: number): boolean {
    return (
      this._options.hasWaitingRequests(model) &&
      this._copies.ready(model).length === 0 &&
      gainOf(this._demand.get(model)) * displacingShare > otherGain
    );
  }

  private _isDrained(held: PlacedModel): boolean {
    return held.running === 0 && this._nowMs - (held.retiringSinceMs ?? this._nowMs) >= reportDelayMs;
  }

  /** Loads models from local weights, in the order in which their requests miss the latency target. */
  private _loadFromLocalWeights(waiting: readonly WaitingModel[]): void {
    for (const [model, demand] of waiting) {
      this._loadUnlessAssigned(model, ['memory', 'disk']);
      for (const version of demand.requiredVersions) {
        this._loadAtVersion(model, version);
      }
    }
  }

  /** Loads a model on a replica of the version that began the streams which wait for it, unless one has the model. */
  private _loadAtVersion(model: string, version: string): void {
    const isOfVersion = (replica: PlacedReplica): boolean => replica.softwareVersion === version;
    const planned = new Set(
      [...this._orders, ...this._clearings].filter((plan) => isFor(plan, model)).map(replicaIdOf),
    );
    const hasCopy = this._copies.assigned(model).some(isOfVersion);
    const isPlanned = this._input.replicas.some((replica) => planned.has(replica.id) && isOfVersion(replica));
    if (!hasCopy && !isPlanned) {
      this._load(model, 'waiting', ['memory', 'disk'], { isEligible: isOfVersion, hasBegunStreams: true });
    }
  }

  /**
   * Assigns the few store loads to the models in highest demand: models without a copy, and models whose copies have
   * more requests than slots.
   */
  private _loadFromStore(hot: readonly HotModel[]): void {
    const missing = storeCandidates(this._demand, this._copies, this._input.models, this._input.nextStoreLoads).map(
      ([model, gain]) => ({
        model,
        gain,
        reason: 'waiting' as const,
      }),
    );
    const candidates: StoreCandidate[] = [...missing, ...overloaded(hot)];
    candidates.sort((one, other) => other.gain - one.gain);
    for (const { model, reason } of candidates) {
      if (reason === 'secondCopy') {
        this._loadFurtherCopy(model);
      } else if (this._mayUseStore(model)) {
        this._loadUnlessAssigned(model, ['store']);
      }
    }
  }

  private _loadFurtherCopy(model: string): void {
    if (!this._isPlanned(model) && this._hasStoreCapacity()) {
      this._load(model, 'secondCopy', ['store']);
    }
  }

  /** Loads additional copies of hot models from local weights, so that copies follow demand that shifts. */
  private _addSecondCopies(hot: readonly HotModel[]): void {
    for (const { model, running, slots } of hot) {
      if (running > secondCopyUtilization * slots) {
        this._load(model, 'secondCopy', ['memory', 'disk']);
      } else {
        this._addFasterCopy(model);
      }
    }
  }

  /** Loads a hot model on a faster replica if all its copies are on slow ones, where requests with tight targets are late. */
  private _addFasterCopy(model: string): void {
    const slowness = Math.min(...this._copies.assigned(model).map((replica) => replica.slowness));
    if (slowness > slowCopy.slowness) {
      const isEligible = (replica: PlacedReplica): boolean => replica.slowness < slowness * slowCopy.improvement;
      this._load(model, 'fasterCopy', ['memory', 'disk'], { isEligible });
    }
  }

  /** Models in high demand that have copies and are not being loaded. */
  private _hotModels(): readonly HotModel[] {
    const hot = [...this._demand].filter(
      ([, demand]) => demand.latencyTargetMs < relaxedLatencyTargetMs && demand.ratePerSecond > hotRate,
    );
    return hot.flatMap(([model, demand]) => {
      const holders = this._copies.assigned(model);
      const isBeingLoaded = holders.some((replica) => replica.order?.model === model);
      const running = holders.reduce((sum, replica) => sum + replica.running, 0);
      // Runs take longer on slow replicas, so that as many requests a second occupy more of their slots.
      const slots = holders.reduce((sum, replica) => sum + replica.slots / Math.max(replica.slowness, 1), 0);
      return holders.length > 0 && !isBeingLoaded ? [{ model, demand, running, slots }] : [];
    });
  }

  /** Uses spare store loads for models that no replica holds, loads or has local weights of. */
  private _loadMissing(): void {
    const missing = [...this._input.models.keys()].filter((model) => !this._copies.hasAnyCopy(model));
    missing.sort((first, second) => this._rate(second) - this._rate(first));
    for (const model of missing) {
      if (!this._hasStoreCapacity()) {
        return;
      }
      this._load(model, 'coverage', ['store']);
    }
  }

  private _loadUnlessAssigned(model: string, tiers: readonly WeightTier[]): void {
    if (this._isPlanned(model)) {
      return;
    }
    const holders = this._copies.assigned(model).filter((replica) => !exceedsRateLimit(replica));
    const draining = holders.filter((replica) => this._isDraining(replica, model));
    const inLongStoreLoad = tiers.includes('store')
      ? []
      : holders.filter((replica) => this._isInLongStoreLoad(replica, model));
    if (
      holders.length === draining.length + inLongStoreLoad.length &&
      this._load(model, 'waiting', tiers, { idleVictimsOnly: draining.length > 0 })
    ) {
      // Another replica can start without waiting for requests to end.
      draining.forEach((replica) => {
        this._release(replica);
      });
    }
  }

  private _isPlanned(model: string): boolean {
    return (
      this._orders.some((order) => order.model === model || order.clearingFor === model) ||
      this._clearings.some((clearing) => clearing.clearingFor === model)
    );
  }

  /** True if a replica is loading a model from the store and needs longer than a load from another's local weights. */
  private _isInLongStoreLoad(replica: PlacedReplica, model: string): boolean {
    const { order } = replica;
    return isLoadingFromStore(replica) && order?.model === model && order.expectedDoneMs - this._nowMs > longLoadMs;
  }

  /** True if a replica waits for the requests of other models to end before it can load a model. */
  private _isDraining(replica: PlacedReplica, model: string): boolean {
    const isWaiting = replica.models.some((held) => held.retiringSinceMs !== undefined);
    return replica.clearingFor === model && replica.order === undefined && isWaiting;
  }

  /** Orders a load, or the unload or clearing that must precede it. Returns false if no replica can free the memory. */
  private _load(
    model: string,
    reason: PlannedOrder['reason'],
    tiers: readonly WeightTier[],
    { idleVictimsOnly = false, hasBegunStreams = false, isEligible = () => true }: LoadConstraints = {},
  ): boolean {
    const specification = this._input.models.get(model);
    if (specification === undefined) {
      return false;
    }
    const eligible = tiers.includes('store') ? this._input.replicas : this._copies.withLocalWeights(model);
    const options = eligible
      .filter((replica) => this._isAvailable(replica) && replica.clearingFor === undefined && isEligible(replica))
      .filter((replica) => !replica.models.some((held) => held.name === model))
      .map((replica) => this._options.option(replica, specification))
      .filter((option) => option !== undefined)
      .filter((option) => !idleVictimsOnly || option.victims.every((victim) => victim.running === 0))
      .filter((option) => tiers.includes(option.tier))
      .filter((option) => this._isWorthwhile(option, model, reason, hasBegunStreams));
    const best = cheapest(options);
    if (best !== undefined) {
      this._order(best, specification, reason);
    }
    return best !== undefined;
  }

  /** Compares the demand for a model with the demand for the models that would be unloaded for it. */
  private _isWorthwhile(
    option: LoadOption,
    model: string,
    reason: PlannedOrder['reason'],
    hasBegunStreams: boolean,
  ): boolean {
    const loss = this._options.lossOf(option.victims);
    const gain = (hasBegunStreams ? gainForStreams : gainOf)(this._demand.get(model));
    return reason === 'coverage' ? loss <= gain || loss < ratePerWaitingRequest : loss * displacingShare <= gain;
  }

  private _order(option: LoadOption, specification: ModelSpecification, reason: PlannedOrder['reason']): void {
    const { replica, tier, victims } = option;
    this._reservedIds.add(replica.id);
    if (tier === 'store') {
      this._storeLoads += 1;
    }
    const afterUnload = replica.clearingFor !== undefined;
    const victim = victims[0];
    if (victim === undefined) {
      this._orders.push({ replicaId: replica.id, kind: 'load', model: specification.name, afterUnload, tier, reason });
      return;
    }
    const clearingFor = specification.name;
    if (victims.some((held) => held.running > 0)) {
      this._clearings.push({ replicaId: replica.id, clearingFor, retiring: victims.map((held) => held.name) });
      return;
    }
    const model = victim.name;
    const id = replica.id;
    this._orders.push({ replicaId: id, kind: 'unload', model, clearingFor, afterUnload, tier, reason: 'clearing' });
  }

  private _rate(model: string): number {
    const demand = this._demand.get(model);
    return (demand?.ratePerSecond ?? 0) + (demand?.waiting ?? 0);
  }

  /**
   * Whether a model may be loaded from the store. A replica with local weights is worth waiting for, as a load from the
   * store takes many times as long, but only for a limited time in which it may free memory for the model.
   */
  private _mayUseStore(model: string): boolean {
    const demand = this._demand.get(model);
    const hasCopy = this._copies.withLocalWeights(model).some((replica) => replica.takesOrders);
    const timeoutMs = requestWeight(demand) > 1 ? tightLatencyCopyTimeoutMs : copyTimeoutMs;
    const lateByMs = (demand?.unservedMs ?? 0) - (demand?.latencyTargetMs ?? 0);
    const isWorthWaiting = lateByMs < timeoutMs && hasCopy;
    return this._hasStoreCapacity() && !isWorthWaiting;
  }

  private _hasStoreCapacity(): boolean {
    return this._storeLoads < this._input.maximumStoreLoads;
  }

  private _isAvailable(replica: PlacedReplica): boolean {
    return replica.takesOrders && replica.order === undefined && !this._reservedIds.has(replica.id);
  }
}

/** True if an order or a clearing is for a model. */
function isFor(plan: PlannedOrder | PlannedClearing, model: string): boolean {
  return plan.clearingFor === model || ('model' in plan && plan.model === model);
}

function replicaIdOf({ replicaId }: PlannedOrder | PlannedClearing): string {
  return replicaId;
}

function cheapest(options: readonly LoadOption[]): LoadOption | undefined {
  return options.reduce<LoadOption | undefined>(
    (best, option) => (best === undefined || option.costMs < best.costMs ? option : best),
    undefined,
  );
}
