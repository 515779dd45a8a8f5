import type { ModelSpecification, WeightTier } from '../Types.js';
import type { CopyIndex } from './CopyIndex.js';
import type { PlacedModel, PlacedReplica, PlacementInput } from './Types.js';
import { freeMegabytes, heldMegabytes, loadTier, type ModelDemand, requestWeight } from './weights.js';

/** A model stays at least this long after its load, so that the requests that waited for it reach it. */
const minimumResidenceMs = 600;
/** Requests with less time than this until they are late may end the residence of a model in use, milliseconds. */
const urgentSlackMs = 500;
/** Mean time that a running request still takes, milliseconds. An unload waits for the last of them. */
const meanRemainingRunMs = 1_200;
/** Cost in milliseconds of taking away a model that is asked for once a second. */
const lossCostMs = 400;
/** Time until an order in progress ends counts in full when another replica could start at once. */
const unloadStepCostMs = 150;
/** Cost of keeping a replica busy whose adapters are asked for once a second, milliseconds: their loads have to wait. */
const adapterDelayCostMs = 200;

/** A way to load a model on a replica. */
export interface LoadOption {
  readonly replica: PlacedReplica;
  readonly tier: WeightTier;
  /** Models that have to be unloaded first. */
  readonly victims: readonly PlacedModel[];
  readonly costMs: number;
}

/** Finds out how a replica could load a model, and what that costs the models that give way. */
export class LoadOptions {
  private readonly _adapterRates: ReadonlyMap<string, number>;
  /** Models of a replica, the one that costs least to give up first. */
  private readonly _byCost = new Map<string, readonly PlacedModel[]>();

  public constructor(
    private readonly _input: PlacementInput,
    private readonly _demand: ReadonlyMap<string, ModelDemand>,
    private readonly _copies: CopyIndex,
    private readonly _nowMs: number,
  ) {
    this._adapterRates = adapterRates(_input);
  }

  /** How a replica could load a model; undefined if it may not give up enough. */
  public option(replica: PlacedReplica, specification: ModelSpecification): LoadOption | undefined {
    const victims: PlacedModel[] = [];
    let free = freeMegabytes(replica, this._input.models);
    const candidates = this._modelsByCost(replica).filter((held) => this._mayEvict(held, replica, specification.name));
    while (free < specification.weightMegabytes) {
      const victim = candidates.shift();
      if (victim === undefined) {
        return undefined;
      }
      victims.push(victim);
      free += heldMegabytes(victim, this._input.models);
    }
    const tier = loadTier(replica, specification.name);
    const victimsCostMs = victims.reduce((sum, victim) => sum + this._costOf(victim) + unloadStepCostMs, 0);
    const adapterRate = replica.models.reduce((sum, held) => sum + (this._adapterRates.get(held.name) ?? 0), 0);
    const costMs = specification.loadMs[tier] + victimsCostMs + adapterRate * adapterDelayCostMs;
    return { replica, tier, victims, costMs };
  }

  /** Weighted requests a second that lose their only copy. */
  public lossOf(victims: readonly PlacedModel[]): number {
    return victims.reduce((sum, victim) => sum + this._weightedRate(victim.name) / this._copyCount(victim.name), 0);
  }

  /** True if requests wait for a model. */
  public hasWaitingRequests(model: string): boolean {
    return (this._demand.get(model)?.waiting ?? 0) > 0;
  }

  private _modelsByCost(replica: PlacedReplica): readonly PlacedModel[] {
    const cached = this._byCost.get(replica.id);
    if (cached !== undefined) {
      return cached;
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
  private _mayEvict(held: PlacedModel, replica: PlacedReplica, wantedModel: string): boolean {
    const isNeeded = this.hasWaitingRequests(held.name) && !this._hasOtherCopy(held.name, replica);
    const isIdleOrUrgent = held.running === 0 || (this._demand.get(wantedModel)?.slackMs ?? Infinity) < urgentSlackMs;
    return isIdleOrUrgent && !isNeeded && this._nowMs - held.readySinceMs >= minimumResidenceMs;
  }

  private _costOf(held: PlacedModel): number {
    return this.lossOf([held]) * lossCostMs + drainMs(held.running);
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
  for (const { modelReference, ratePerSecond } of input.demands) {
    if (modelReference.adapter !== undefined) {
      rates.set(modelReference.model, (rates.get(modelReference.model) ?? 0) + ratePerSecond);
    }
  }
  return rates;
}
