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
import { type LoadOption, LoadOptions } from './LoadOptions.js';
import {
  demandByModel,
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

/** Requests that are late by this much no longer wait for a replica with a copy to make room, milliseconds. */
const copyTimeoutMs = 4_000;
/** The same for requests whose callers leave soon. */
const tightLatencyCopyTimeoutMs = 1_000;
/** A model gives way to another one whose demand is at least this share of its own. */
const displacingShare = 0.5;
/** Share of a replica's slots above which a model gets another copy. */
const secondCopyUtilization = 0.6;
/** Requests beyond what the copies of a model run at once count this much: they may be served late, those without a copy never. */
const furtherCopyWeight = 0.1;
/** A model that is asked for more often than this is hot, requests a second. */
const hotRate = 1;

/** A load from the store that takes longer than this does not keep a model from being loaded from a copy, milliseconds. */
const longLoadMs = 1_500;
/** Requests that daemons sent before they knew that a model retires are reported within this time, milliseconds. */
const reportDelayMs = 250;
/** A replica is no longer cleared for a model that nobody waits for and that is asked for less often, requests a second. */
const minimumClearingRate = 0.1;

type WaitingModel = readonly [string, ModelDemand];

/** A model in much demand, with the requests and slots of the replicas that have a copy. */
interface HotModel {
  readonly model: string;
  readonly demand: ModelDemand;
  readonly running: number;
  readonly slots: number;
}

interface StoreCandidate {
  readonly model: string;
  /** What a load is worth, in weighted requests a second. */
  readonly gain: number;
  readonly reason: 'waiting' | 'secondCopy';
}

/**
 * Decides which models to load and unload now. Answers the load of many models that are called rarely and a few that
 * are called often: a model that requests wait for is loaded where that is fastest and takes least away; the weight
 * store's few loads go to models that no replica has a copy of.
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
    this._serveFromCopies(waiting);
    const hot = this._hotModels();
    this._addSecondCopies(hot);
    if (this._input.mayLoadMissing) {
      this._serveFromStore(hot);
      this._coverMissing();
    }
    return { orders: this._orders, clearings: this._clearings, releases: this._releases };
  }

  /** Goes on with a replica that is being cleared for a model: unloads what has become idle, and loads at last. */
  private _continueClearing(replica: PlacedReplica, model: string): void {
    const specification = this._input.models.get(model);
    if (specification === undefined || this._hasNoDemand(model) || this._isRetiringModelNeeded(replica, model)) {
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

  private _hasNoDemand(model: string): boolean {
    const demand = this._demand.get(model);
    return (demand?.waiting ?? 0) === 0 && (demand?.ratePerSecond ?? 0) < minimumClearingRate;
  }

  /** True if a retiring model of a replica is in more demand by now than the model it gives way to. */
  private _isRetiringModelNeeded(replica: PlacedReplica, model: string): boolean {
    const gain = gainOf(this._demand.get(model));
    const isNeeded = (held: PlacedModel): boolean =>
      held.retiringSinceMs !== undefined &&
      this._options.hasWaitingRequests(held.name) &&
      this._copies.ready(held.name).length === 0 &&
      gainOf(this._demand.get(held.name)) * displacingShare > gain;
    return replica.models.some(isNeeded);
  }

  private _isDrained(held: PlacedModel): boolean {
    return held.running === 0 && this._nowMs - (held.retiringSinceMs ?? this._nowMs) >= reportDelayMs;
  }

  /** Loads from a replica's own copies in the order in which requests are late. */
  private _serveFromCopies(waiting: readonly WaitingModel[]): void {
    for (const [model] of waiting) {
      this._loadUnlessPresent(model, ['memory', 'disk']);
    }
  }

  /**
   * The few loads of the weight store go to the models in most demand: to those without a copy, and to those whose copies
   * have more requests than they can run at once.
   */
  private _serveFromStore(hot: readonly HotModel[]): void {
    const missing = storeCandidates(this._demand, this._copies).map(([model, demand]) => ({
      model,
      gain: gainOf(demand),
      reason: 'waiting' as const,
    }));
    const candidates: StoreCandidate[] = [...missing, ...overloaded(hot)];
    candidates.sort((one, other) => other.gain - one.gain);
    for (const { model, reason } of candidates) {
      if (reason === 'secondCopy') {
        this._loadFurtherCopy(model);
      } else if (this._mayUseStore(model)) {
        this._loadUnlessPresent(model, ['store']);
      }
    }
  }

  private _loadFurtherCopy(model: string): void {
    if (!this._isPlanned(model) && this._hasStoreCapacity()) {
      this._load(model, 'secondCopy', ['store']);
    }
  }

  /** Answers demand that moves to a model with few copies, from copies in memory or on disk. */
  private _addSecondCopies(hot: readonly HotModel[]): void {
    for (const { model, running, slots } of hot) {
      if (running > secondCopyUtilization * slots) {
        this._load(model, 'secondCopy', ['memory', 'disk']);
      }
    }
  }

  /** Models in much demand that have copies and are not being loaded. */
  private _hotModels(): readonly HotModel[] {
    const hot = [...this._demand].filter(
      ([, demand]) => demand.latencyTargetMs < relaxedLatencyTargetMs && demand.ratePerSecond > hotRate,
    );
    return hot.flatMap(([model, demand]) => {
      const holders = this._copies.assigned(model);
      const isBeingLoaded = holders.some((replica) => replica.order?.model === model);
      const running = holders.reduce((sum, replica) => sum + replica.running, 0);
      const slots = holders.reduce((sum, replica) => sum + replica.slots, 0);
      return holders.length > 0 && !isBeingLoaded ? [{ model, demand, running, slots }] : [];
    });
  }

  /** Uses free loads of the weight store for models that no replica has in any tier. */
  private _coverMissing(): void {
    const missing = [...this._input.models.keys()].filter((model) => !this._copies.hasAnyCopy(model));
    missing.sort((first, second) => this._rate(second) - this._rate(first));
    for (const model of missing) {
      if (!this._hasStoreCapacity()) {
        return;
      }
      this._load(model, 'coverage', ['store']);
    }
  }

  private _loadUnlessPresent(model: string, tiers: readonly WeightTier[]): void {
    if (this._isPlanned(model)) {
      return;
    }
    const holders = this._copies.assigned(model);
    const draining = holders.filter((replica) => this._isDraining(replica, model));
    const inLongStoreLoad = tiers.includes('store')
      ? []
      : holders.filter((replica) => this._isInLongStoreLoad(replica, model));
    if (
      holders.length === draining.length + inLongStoreLoad.length &&
      this._load(model, 'waiting', tiers, draining.length > 0)
    ) {
      // Another replica can begin at once.
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

  /** True if a replica is in the middle of a load from the store that takes longer than one from another's copy. */
  private _isInLongStoreLoad(replica: PlacedReplica, model: string): boolean {
    const { order } = replica;
    return isLoadingFromStore(replica) && order?.model === model && order.expectedDoneMs - this._nowMs > longLoadMs;
  }

  /** True if a replica waits for the requests of other models to end before it can load a model. */
  private _isDraining(replica: PlacedReplica, model: string): boolean {
    const isWaiting = replica.models.some((held) => held.retiringSinceMs !== undefined);
    return replica.clearingFor === model && replica.order === undefined && isWaiting;
  }

  /** Orders a load, or what has to go before it. Returns false if no replica can make room. */
  private _load(
    model: string,
    reason: PlannedOrder['reason'],
    tiers: readonly WeightTier[],
    idleVictimsOnly = false,
  ): boolean {
    const specification = this._input.models.get(model);
    if (specification === undefined) {
      return false;
    }
    const eligible = tiers.includes('store') ? this._input.replicas : this._copies.withLocalWeights(model);
    const options = eligible
      .filter((replica) => this._isAvailable(replica) && replica.clearingFor === undefined)
      .filter((replica) => !replica.models.some((held) => held.name === model))
      .map((replica) => this._options.option(replica, specification))
      .filter((option) => option !== undefined)
      .filter((option) => !idleVictimsOnly || option.victims.every((victim) => victim.running === 0))
      .filter((option) => tiers.includes(option.tier) && this._isWorthwhile(option, model, reason));
    const best = cheapest(options);
    if (best !== undefined) {
      this._order(best, specification, reason);
    }
    return best !== undefined;
  }

  /** Compares the demand for a model with the demand for those that would give way to it. */
  private _isWorthwhile(option: LoadOption, model: string, reason: PlannedOrder['reason']): boolean {
    const loss = this._options.lossOf(option.victims);
    const gain = gainOf(this._demand.get(model));
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
   * A replica that has a copy of the weights is worth waiting for, as a load from the store takes many times as long.
   * One that makes no room for the model for long does not keep it from being loaded elsewhere.
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

/** Models whose copies cannot run all their requests at once. */
function overloaded(hot: readonly HotModel[]): readonly StoreCandidate[] {
  const overloadedModels = hot.filter(({ running, slots }) => running > slots);
  return overloadedModels.map(({ model, demand, running, slots }) => {
    const gain = gainOf(demand) * (1 - slots / running) * furtherCopyWeight;
    return { model, gain, reason: 'secondCopy' as const };
  });
}

function cheapest(options: readonly LoadOption[]): LoadOption | undefined {
  return options.reduce<LoadOption | undefined>(
    (best, option) => (best === undefined || option.costMs < best.costMs ? option : best),
    undefined,
  );
}
