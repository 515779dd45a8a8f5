import type { ModelSpecification, WeightTier } from '../Types.js';
import type { CopyIndex } from './CopyIndex.js';
import type { PlacedModel, PlacedReplica, PlacementInput } from './Types.js';
import { freeMegabytes, heldMegabytes, loadTier, type ModelDemand, requestWeight } from './weights.js';

/** Minimum time that a model stays loaded, milliseconds, so that the requests that waited for it can reach it. */
export const minimumResidenceMs = 600;
/** Requests with less time than this until they miss their latency target may evict a model in use, milliseconds. */
export const urgentSlackMs = 500;
/** Mean remaining time of a running request, milliseconds. An unload waits for the last of them. */
const meanRemainingRunMs = 1_200;
/** Cost of evicting the only copy of a model with one request per second, milliseconds. */
const lossCostMs = 400;
/** Cost of each unload that must precede the load, milliseconds: another replica may be able to load at once. */
const unloadStepCostMs = 150;
/** Cost of a load on a replica whose adapters get one request per second, milliseconds: adapter loads have to wait. */
const adapterDelayCostMs = 200;

/** Cost of a load on a replica with a rate limit, milliseconds: its orders and its requests count towards the limit. */
const rateLimitCostMs = 2_000;

/** Mean time that a request occupies a slot of a replica of mean speed, milliseconds. */
const meanRunMs = 1_000;
/** Slowness counts more for models whose requests have tight latency targets: on slow replicas they are late. */
const tightLatencySlownessFactor = 2;

/** A way to load a model on a replica. */
export interface LoadOption {
  readonly replica: PlacedReplica;
  readonly tier: WeightTier;
  /** Models that must be unloaded first. */
  readonly victims: readonly PlacedModel[];
  readonly costMs: number;
}

/** Determines how a replica can load a model, and the cost for the models that are unloaded for it. */
export class LoadOptions {
  private readonly _adapterRates: ReadonlyMap<string, number>;
  /** Models by replica id, in ascending order of eviction cost. */
  private readonly _byCost = new Map<string, readonly PlacedModel[]>();

  public constructor(
    private readonly _input: PlacementInput,
    private readonly _demand: ReadonlyMap<string, ModelDemand>,
    private readonly _copies: CopyIndex,
    private readonly _nowMs: number,
  ) {
    this._adapterRates = adapterRates(_input);
  }

  /** How a replica can load a model; undefined if it cannot free enough memory. */
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
    const limitCostMs = replica.rateLimit === undefined ? 0 : rateLimitCostMs;
    const runCostMs = this._slownessCostMs(replica, specification.name);
    const costMs =
      specification.loadMs[tier] + victimsCostMs + adapterRate * adapterDelayCostMs + limitCostMs + runCostMs;
    return { replica, tier, victims, costMs };
  }

  /** Time by which a run takes longer on a replica than on one of mean speed; negative on a faster one. */
  private _slownessCostMs({ slowness }: PlacedReplica, model: string): number {
    const factor = requestWeight(this._demand.get(model)) > 1 ? tightLatencySlownessFactor : 1;
    return (slowness - 1) * meanRunMs * factor;
  }

  /** Demand for the victims in weighted requests per second, reduced for models with other copies. */
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
   * A model in use is evicted only for requests that are about to miss their latency target; until then another model
   * may become idle. It retires first, because an unload waits for the model's requests and blocks other orders to the
   * replica meanwhile.
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
    // An additional copy takes part of the load, but no request has to wait for a load when it is lost.
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

/** Expected time until the last of the running requests ends, milliseconds. */
export function drainMs(running: number): number {
  let harmonic = 0;
  for (let index = 1; index <= running; index += 1) {
    harmonic += 1 / index;
  }
  return harmonic * meanRemainingRunMs;
}

/** Requests per second for the adapters of each model. */
function adapterRates(input: PlacementInput): ReadonlyMap<string, number> {
  const rates = new Map<string, number>();
  for (const { modelReference, ratePerSecond } of input.demands) {
    if (modelReference.adapter !== undefined) {
      rates.set(modelReference.model, (rates.get(modelReference.model) ?? 0) + ratePerSecond);
    }
  }
  return rates;
}
