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
import {
  demandByModel,
  freeMegabytes,
  gainOf,
  heldMegabytes,
  isLoadingFromStore,
  loadTier,
  type ModelDemand,
  patientTargetMs,
  requestWeight,
  waitingModels,
  waitingRate,
} from './weights.js';

/** Requests that are late by this much no longer wait for a replica with a copy to make room, milliseconds. */
const copyPatienceMs = 4_000;
/** The same for requests whose callers leave soon. */
const impatientCopyPatienceMs = 1_000;
/** A model stays at least this long after its load, so that the requests that waited for it reach it. */
const minimumResidenceMs = 600;
/** Requests with less time than this until they are late may end the residence of a model in use, milliseconds. */
const urgentSlackMs = 500;
/** Mean time that a running request still takes, milliseconds. An unload waits for the last of them. */
const meanRemainingRunMs = 1_200;
/** A model gives way to another one whose demand is at least this share of its own. */
const displacingShare = 0.5;
/** Cost in milliseconds of taking away a model that is asked for once a second. */
const rateCostMs = 400;
/** Share of a replica's slots above which a model gets another copy. */
const secondCopyLoad = 0.6;
/** Time until an order in progress ends counts in full when another replica could start at once. */
const clearingStepMs = 150;

/** A load from the store that takes longer than this does not keep a model from being loaded from a copy, milliseconds. */
const distantLoadMs = 1_500;
/** Requests that daemons sent before they knew that a model retires are reported within this time, milliseconds. */
const reportSettleMs = 250;
/** A replica is no longer cleared for a model that nobody waits for and that is asked for less often, requests a second. */
const forgottenRate = 0.1;
/** Cost of keeping a replica busy whose adapters are asked for once a second, milliseconds: their loads have to wait. */
const adapterDelayCostMs = 200;

type WaitingModel = readonly [string, ModelDemand];

interface Option {
  readonly replica: PlacedReplica;
  readonly tier: WeightTier;
  readonly victims: readonly PlacedModel[];
  readonly costMs: number;
}

/**
 * Decides which models to load and unload now. Answers the load of many models that are called rarely and a few that
 * are called often: a model that requests wait for is loaded where that is fastest and takes least away; the weight
 * store's few loads go to models that no replica has a copy of.
 */
export function planModels(
  input: PlacementInput,
  nowMs: number,
  taken: ReadonlySet<string> = new Set(),
): PlacementPlan {
  return new ModelPlan(input, nowMs, taken).make();
}

class ModelPlan {
  private readonly _demand: ReadonlyMap<string, ModelDemand>;
  private readonly _orders: PlannedOrder[] = [];
  private readonly _clearings: PlannedClearing[] = [];
  private readonly _releases: string[] = [];
  private readonly _taken: Set<string>;
  private readonly _adapterRates: ReadonlyMap<string, number>;
  private readonly _copies: CopyIndex;
  /** Models of a replica, the one that costs least to give up first. */
  private readonly _byCost = new Map<string, readonly PlacedModel[]>();
  private _storeLoads: number;

  public constructor(
    private readonly _input: PlacementInput,
    private readonly _nowMs: number,
    taken: ReadonlySet<string>,
  ) {
    this._taken = new Set(taken);
    this._adapterRates = adapterRates(_input);
    this._copies = new CopyIndex(_input.replicas);
    this._demand = demandByModel(_input.demands);
    this._storeLoads = _input.replicas.filter(isLoadingFromStore).length;
  }

  public make(): PlacementPlan {
    for (const replica of this._input.replicas) {
      if (replica.clearingFor !== undefined && this._isFree(replica)) {
        this._continueClearing(replica, replica.clearingFor);
      }
    }
    const waiting = waitingModels(this._demand);
    this._serveFromCopies(waiting);
    this._addSecondCopies();
    this._serveFromStore(waiting);
    this._coverMissing();
    return { orders: this._orders, clearings: this._clearings, releases: this._releases };
  }

  /** Goes on with a replica that is being cleared for a model: unloads what has become idle, and loads at last. */
  private _continueClearing(replica: PlacedReplica, model: string): void {
    const specification = this._input.models.get(model);
    if (specification === undefined || this._isForgotten(model) || this._isWantedBack(replica, model)) {
      this._release(replica);
      return;
    }
    const retiring = replica.models.filter((held) => held.retiringSinceMs !== undefined);
    if (retiring.length === 0) {
      const option = this._option(replica, specification);
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
    this._taken.add(replica.id);
  }

  private _isForgotten(model: string): boolean {
    const demand = this._demand.get(model);
    return (demand?.waiting ?? 0) === 0 && (demand?.ratePerSecond ?? 0) < forgottenRate;
  }

  /** True if a retiring model of a replica is in more demand by now than the model it gives way to. */
  private _isWantedBack(replica: PlacedReplica, model: string): boolean {
    const gain = gainOf(this._demand.get(model));
    const isWanted = (held: PlacedModel): boolean =>
      held.retiringSinceMs !== undefined &&
      this._isWaitedFor(held.name) &&
      this._copies.ready(held.name).length === 0 &&
      gainOf(this._demand.get(held.name)) * displacingShare > gain;
    return replica.models.some(isWanted);
  }

  private _isDrained(held: PlacedModel): boolean {
    return held.running === 0 && this._nowMs - (held.retiringSinceMs ?? this._nowMs) >= reportSettleMs;
  }

  /** Loads from a replica's own copies in the order in which requests are late. */
  private _serveFromCopies(waiting: readonly WaitingModel[]): void {
    for (const [model] of waiting) {
      this._loadUnlessPresent(model, ['memory', 'disk']);
    }
  }

  /** The few loads of the weight store go to the models in most demand. */
  private _serveFromStore(waiting: readonly WaitingModel[]): void {
    const byGain = [...waiting].sort(([, first], [, second]) => gainOf(second) - gainOf(first));
    for (const [model] of byGain) {
      if (this._mayUseStore(model)) {
        this._loadUnlessPresent(model, ['store']);
      }
    }
  }

  /**
   * Answers demand that moves to a model with few copies. The weight store is used only where the copies have more
   * requests than they can run at once, since its loads take long and are few.
   */
  private _addSecondCopies(): void {
    for (const [model, demand] of this._demand) {
      const holders = this._copies.present(model);
      if (holders.length === 0 || holders.some((replica) => replica.order?.model === model)) {
        continue;
      }
      const running = holders.reduce((sum, replica) => sum + replica.running, 0);
      const slots = holders.reduce((sum, replica) => sum + replica.slots, 0);
      const isImpatient = demand.latencyTargetMs < patientTargetMs;
      if (isImpatient && running > secondCopyLoad * slots && demand.ratePerSecond > 1) {
        const isOverloaded = running > slots && this._storeLoads < this._input.maximumStoreLoads;
        this._load(model, 'secondCopy', isOverloaded ? ['memory', 'disk', 'store'] : ['memory', 'disk']);
      }
    }
  }

  /** Uses free loads of the weight store for models that no replica has in any tier. */
  private _coverMissing(): void {
    if (!this._input.mayCover) {
      return;
    }
    const missing = [...this._input.models.keys()].filter((model) => !this._isAnywhere(model));
    missing.sort((first, second) => this._rate(second) - this._rate(first));
    for (const model of missing) {
      if (this._storeLoads >= this._input.maximumStoreLoads) {
        return;
      }
      this._load(model, 'coverage', ['store']);
    }
  }

  private _loadUnlessPresent(model: string, tiers: readonly WeightTier[]): void {
    if (this._isPlanned(model)) {
      return;
    }
    const holders = this._copies.present(model);
    const draining = holders.filter((replica) => this._isDraining(replica, model));
    const distant = tiers.includes('store') ? [] : holders.filter((replica) => this._isDistant(replica, model));
    if (
      holders.length === draining.length + distant.length &&
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
  private _isDistant(replica: PlacedReplica, model: string): boolean {
    const { order } = replica;
    return isLoadingFromStore(replica) && order?.model === model && order.expectedDoneMs - this._nowMs > distantLoadMs;
  }

  /** True if a replica waits for the requests of other models to end before it can load a model. */
  private _isDraining(replica: PlacedReplica, model: string): boolean {
    const isWaiting = replica.models.some((held) => held.retiringSinceMs !== undefined);
    return replica.clearingFor === model && replica.order === undefined && isWaiting;
  }

  /** Orders a load, or what has to go before it. Returns false if no replica can make room. */
  private _load(model: string, reason: PlannedOrder['reason'], tiers: readonly WeightTier[], atOnce = false): boolean {
    const specification = this._input.models.get(model);
    if (specification === undefined) {
      return false;
    }
    const options = this._input.replicas
      .filter((replica) => this._isFree(replica) && replica.clearingFor === undefined)
      .filter((replica) => !replica.models.some((held) => held.name === model))
      .map((replica) => this._option(replica, specification))
      .filter((option) => option !== undefined)
      .filter((option) => !atOnce || option.victims.every((victim) => victim.running === 0))
      .filter((option) => tiers.includes(option.tier) && this._isWorthIt(option, model, reason));
    const best = cheapest(options);
    if (best !== undefined) {
      this._order(best, specification, reason);
    }
    return best !== undefined;
  }

  /** Compares the demand for a model with the demand for those that would give way to it. */
  private _isWorthIt(option: Option, model: string, reason: PlannedOrder['reason']): boolean {
    const loss = this._lossOf(option.victims);
    const gain = gainOf(this._demand.get(model));
    return reason === 'coverage' ? loss <= gain || loss < waitingRate : loss * displacingShare <= gain;
  }

  private _order(option: Option, specification: ModelSpecification, reason: PlannedOrder['reason']): void {
    const { replica, tier, victims } = option;
    this._taken.add(replica.id);
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

  /** How a replica could load a model; undefined if it may not give up enough. */
  private _option(replica: PlacedReplica, specification: ModelSpecification): Option | undefined {
    const victims: PlacedModel[] = [];
    let free = freeMegabytes(replica, this._input.models);
    const candidates = this._modelsByCost(replica).filter((held) => this._mayLeave(held, replica, specification.name));
    while (free < specification.weightMegabytes) {
      const victim = candidates.shift();
      if (victim === undefined) {
        return undefined;
      }
      victims.push(victim);
      free += heldMegabytes(victim, this._input.models);
    }
    const tier = loadTier(replica, specification.name);
    const victimsCostMs = victims.reduce((sum, victim) => sum + this._costOf(victim) + clearingStepMs, 0);
    const adapterRate = replica.models.reduce((sum, held) => sum + (this._adapterRates.get(held.name) ?? 0), 0);
    const costMs = specification.loadMs[tier] + victimsCostMs + adapterRate * adapterDelayCostMs;
    return { replica, tier, victims, costMs };
  }

  private _modelsByCost(replica: PlacedReplica): readonly PlacedModel[] {
    const known = this._byCost.get(replica.id);
    if (known !== undefined) {
      return known;
    }
    const costs = replica.models.map((held) => ({ held, cost: this._costOf(held) }));
    costs.sort((first, second) => first.cost - second.cost);
    const models = costs.map(({ held }) => held);
    this._byCost.set(replica.id, models);
    return models;
  }

  /**
   * A model in use leaves only for requests that are about to be late; until then another model may become idle. It
   * retires first, because an unload waits for the model's requests and keeps the replica from other orders meanwhile.
   */
  private _mayLeave(held: PlacedModel, replica: PlacedReplica, wanted: string): boolean {
    const waitedFor = this._isWaitedFor(held.name) && !this._hasOtherCopy(held.name, replica);
    const isIdle = held.running === 0 || (this._demand.get(wanted)?.slackMs ?? Infinity) < urgentSlackMs;
    return isIdle && !waitedFor && this._nowMs - held.readySinceMs >= minimumResidenceMs;
  }

  private _isWaitedFor(model: string): boolean {
    return (this._demand.get(model)?.waiting ?? 0) > 0;
  }

  private _costOf(held: PlacedModel): number {
    return this._lossOf([held]) * rateCostMs + drainMs(held.running);
  }

  /** Weighted requests a second that lose their only copy. */
  private _lossOf(victims: readonly PlacedModel[]): number {
    return victims.reduce((sum, victim) => sum + this._weightedRate(victim.name) / this._copyCount(victim.name), 0);
  }

  private _copyCount(model: string): number {
    // A further copy still carries part of the load, but its loss makes no request wait for a load.
    return Math.max(this._copies.ready(model).length, 1) ** 2;
  }

  private _hasOtherCopy(model: string, replica: PlacedReplica): boolean {
    return this._copies.ready(model).some((other) => other !== replica);
  }

  private _weightedRate(model: string): number {
    const demand = this._demand.get(model);
    return (demand?.ratePerSecond ?? 0) * requestWeight(demand);
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
    const hasCopy = this._copies.atHand(model).some((replica) => replica.takesOrders);
    const patienceMs = requestWeight(demand) > 1 ? impatientCopyPatienceMs : copyPatienceMs;
    const lateByMs = (demand?.unservedMs ?? 0) - (demand?.latencyTargetMs ?? 0);
    const isWorthWaiting = lateByMs < patienceMs && hasCopy;
    return this._storeLoads < this._input.maximumStoreLoads && !isWorthWaiting;
  }

  private _isAnywhere(model: string): boolean {
    return this._copies.present(model).length > 0 || this._copies.atHand(model).length > 0;
  }

  private _isFree(replica: PlacedReplica): boolean {
    return replica.takesOrders && replica.order === undefined && !this._taken.has(replica.id);
  }
}

/** Expected time until the last of several running requests ends, milliseconds. */
function drainMs(running: number): number {
  let harmonic = 0;
  for (let index = 1; index <= running; index += 1) {
    harmonic += 1 / index;
  }
  return harmonic * meanRemainingRunMs;
}

/** Requests a second for the adapters of each model. */
function adapterRates(input: PlacementInput): ReadonlyMap<string, number> {
  const rates = new Map<string, number>();
  for (const { target, ratePerSecond } of input.demands) {
    if (target.adapter !== undefined) {
      rates.set(target.model, (rates.get(target.model) ?? 0) + ratePerSecond);
    }
  }
  return rates;
}

function cheapest(options: readonly Option[]): Option | undefined {
  return options.reduce<Option | undefined>(
    (best, option) => (best === undefined || option.costMs < best.costMs ? option : best),
    undefined,
  );
}
