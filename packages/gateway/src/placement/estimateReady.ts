import type { ReadyEstimate } from '../peers/Types.js';
import type { ModelSpecification } from '../Types.js';
import { CopyIndex } from './CopyIndex.js';
import { adapterReadyMs, idleUnloadMs, loadDurationMs } from './expectedDuration.js';
import { drainMs, LoadOptions, minimumResidenceMs, urgentSlackMs } from './LoadOptions.js';
import type { PlacedModel, PlacedReplica, PlacementInput } from './Types.js';
import {
  demandByModel,
  displacingShare,
  freeMegabytes,
  gainOf,
  heldMegabytes,
  isLoadingFromStore,
  loadTier,
  type ModelDemand,
  storeCandidates,
  waitingModels,
} from './weights.js';

/** Expected further time of an order, as a share of the time by which it is overdue. A slowed store may take twice as long. */
const overdueShare = 0.5;
/**
 * Time for which the models of a replica count as needed more than the one that waits, milliseconds. Request rates
 * follow demand with this time constant, so the comparison may come out differently afterwards.
 */
const displacementRetryMs = 4_000;

/** Mean time of a run, milliseconds; the leader does not know the runs that the daemons measure. */
const meanRunMs = 1_000;

/**
 * Estimates when each model that requests wait for is ready, from the model's own load times and what is ahead of it:
 * orders in progress, models that have to drain and be unloaded, and the loads that use the same replica or the weight
 * store before it. Callers that cannot be served in time are then refused at once, during bursts of requests for rarely
 * used models and while replicas are busy.
 */
export function estimateReady(input: PlacementInput, nowMs: number): readonly ReadyEstimate[] {
  return new ReadyEstimator(input, nowMs).estimates();
}

class ReadyEstimator {
  private readonly _demand: ReadonlyMap<string, ModelDemand>;
  private readonly _copies: CopyIndex;
  private readonly _options: LoadOptions;
  private readonly _storeTimes: ReadonlyMap<string, number>;
  /** Models whose adapters are requested. */
  private readonly _withAdapters: ReadonlySet<string>;
  /** Time until the loads estimated so far have ended, by replica id, milliseconds. */
  private readonly _occupiedMs = new Map<string, number>();

  public constructor(
    private readonly _input: PlacementInput,
    private readonly _nowMs: number,
  ) {
    this._demand = demandByModel(_input.demands);
    this._copies = new CopyIndex(_input.replicas);
    this._options = new LoadOptions(_input, this._demand, this._copies, _nowMs);
    const adapterDemands = _input.demands.filter(
      ({ modelReference, waiting }) => modelReference.adapter && waiting > 0,
    );
    this._withAdapters = new Set(adapterDemands.map(({ modelReference }) => modelReference.model));
    this._storeTimes = this._storeSchedule();
  }

  public estimates(): readonly ReadyEstimate[] {
    return waitingModels(this._demand).flatMap(([model, demand]) => {
      const specification = this._input.models.get(model);
      const readyInMs = specification === undefined ? undefined : this._readyInMs(specification, demand);
      return readyInMs === undefined ? [] : [{ model, readyInMs, ...this._spread(demand) }];
    });
  }

  private _readyInMs(specification: ModelSpecification, demand: ModelDemand): number | undefined {
    const { name } = specification;
    const holders = this._copies.assigned(name);
    const loading = holders.filter(({ order }) => order?.kind === 'load' && order.model === name);
    if (loading.length > 0) {
      return Math.min(...loading.map((replica) => this._orderLeftMs(replica)));
    }
    if (holders.some(({ rateLimit }) => rateLimit !== undefined)) {
      // The requests wait for permits, whose time the daemons know, unless the model is being loaded elsewhere.
      return undefined;
    }
    const ready = this._copies.ready(name);
    if (ready.length > 0 && demand.requiredVersions.length === 0) {
      // No adapter is loaded while the replica has another order.
      return this._withAdapters.has(name)
        ? Math.min(...ready.map((replica) => this._orderLeftMs(replica) + adapterReadyMs))
        : 0;
    }
    const times = [
      ...holders.filter(({ clearingFor }) => clearingFor === name).map((replica) => this._aheadMs(replica)),
      this._localLoadMs(specification, demand),
    ].filter((timeMs) => timeMs !== undefined);
    if (times.length > 0) {
      return Math.min(...times);
    }
    // While replicas are unknown, as for a new leader, one of them may hold the model or have its weights.
    return this._input.mayLoadMissing ? this._storeTimes.get(name) : undefined;
  }

  /** Time until a model is loaded from the local weights of the replica that has it first; undefined without any. */
  private _localLoadMs(specification: ModelSpecification, demand: ModelDemand): number | undefined {
    const versions = demand.requiredVersions;
    const best = this._copies
      .withLocalWeights(specification.name)
      .filter(({ takesRequests, clearingFor }) => takesRequests && clearingFor !== specification.name)
      .filter(({ softwareVersion }) => versions.length === 0 || versions.includes(softwareVersion))
      .map((replica) => ({ replica, timeMs: this._loadOnMs(replica, specification, demand) }))
      .filter(({ timeMs }) => Number.isFinite(timeMs))
      .sort((first, second) => first.timeMs - second.timeMs)[0];
    if (best !== undefined) {
      this._occupiedMs.set(best.replica.id, best.timeMs);
    }
    return best?.timeMs;
  }

  private _loadOnMs(replica: PlacedReplica, specification: ModelSpecification, demand: ModelDemand): number {
    const startMs = Math.max(this._aheadMs(replica), this._occupiedMs.get(replica.id) ?? 0);
    const loadMs = loadDurationMs(specification, loadTier(replica, specification.name));
    return startMs + this._evictionMs(replica, specification, demand) + loadMs;
  }

  /** Time until a replica has freed the memory for a model, milliseconds; infinite if it cannot. */
  private _evictionMs(replica: PlacedReplica, specification: ModelSpecification, demand: ModelDemand): number {
    const option = this._options.option(replica, specification);
    if (option !== undefined) {
      const isWorthwhile = this._options.lossOf(option.victims) * displacingShare <= gainOf(demand);
      return unloadMs(option.victims) + (isWorthwhile ? 0 : displacementRetryMs);
    }
    const victims = this._leastBusy(replica, specification);
    if (victims === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const isBusy = victims.some(({ running }) => running > 0);
    const residenceMs = victims.map(({ readySinceMs }) => readySinceMs + minimumResidenceMs - this._nowMs);
    return Math.max(isBusy ? demand.slackMs - urgentSlackMs : 0, 0, ...residenceMs) + unloadMs(victims);
  }

  /** The models with the fewest running requests that free the memory for a model; undefined if they are too small. */
  private _leastBusy(replica: PlacedReplica, specification: ModelSpecification): readonly PlacedModel[] | undefined {
    const victims: PlacedModel[] = [];
    let freeMb = freeMegabytes(replica, this._input.models);
    const byRunning = [...replica.models].sort((first, second) => first.running - second.running);
    for (const held of byRunning) {
      if (freeMb < specification.weightMegabytes) {
        victims.push(held);
        freeMb += heldMegabytes(held, this._input.models);
      }
    }
    return freeMb < specification.weightMegabytes ? undefined : victims;
  }

  /** Time until a replica has ended its order and the load that it is being cleared for, milliseconds. */
  private _aheadMs(replica: PlacedReplica): number {
    const specification = this._input.models.get(replica.clearingFor ?? '');
    const orderLeftMs = this._orderLeftMs(replica);
    if (specification === undefined || (replica.order?.kind === 'load' && replica.order.adapter === undefined)) {
      return orderLeftMs;
    }
    const retiring = replica.models.filter(({ retiringSinceMs }) => retiringSinceMs !== undefined);
    return orderLeftMs + unloadMs(retiring) + loadDurationMs(specification, loadTier(replica, specification.name));
  }

  /** Time until a replica has ended its order, milliseconds. An order that is overdue takes longer by a share of that. */
  private _orderLeftMs({ order }: PlacedReplica): number {
    if (order === undefined) {
      return 0;
    }
    const leftMs = order.expectedDoneMs - this._nowMs;
    return leftMs >= 0 ? leftMs : -leftMs * overdueShare;
  }

  /** Times at which the models that no replica can load from local weights come from the store, in planning order. */
  private _storeSchedule(): ReadonlyMap<string, number> {
    const { models, replicas, maximumStoreLoads, nextStoreLoads } = this._input;
    const longestLoadMs = Math.max(0, ...[...models.values()].map(({ loadMs }) => loadMs.store));
    const busyMs = replicas
      .filter((replica) => isLoadingFromStore(replica) || replica.hasFormerOrder)
      .map((replica) => (isLoadingFromStore(replica) ? this._orderLeftMs(replica) : longestLoadMs))
      .sort((first, second) => first - second);
    const freeInMs = [...busyMs.slice(Math.max(busyMs.length - maximumStoreLoads, 0))];
    while (freeInMs.length < maximumStoreLoads) {
      freeInMs.unshift(0);
    }
    const times = new Map<string, number>();
    for (const [model] of storeCandidates(this._demand, this._copies, models, nextStoreLoads)) {
      const isMissing = this._copies.assigned(model).length === 0 && !this._hasLocalWeights(model);
      const loadMs = models.get(model)?.loadMs.store;
      if (isMissing && loadMs !== undefined) {
        const readyInMs = (freeInMs.shift() ?? 0) + loadMs;
        times.set(model, readyInMs);
        freeInMs.push(readyInMs);
        freeInMs.sort((first, second) => first - second);
      }
    }
    return times;
  }

  private _hasLocalWeights(model: string): boolean {
    return this._copies.withLocalWeights(model).some(({ takesRequests }) => takesRequests);
  }

  /** Time over which a copy takes the requests that wait, if they are more than its slots. */
  private _spread({ waiting }: ModelDemand): { readonly spreadMs?: number } {
    const slots = Math.max(...this._input.replicas.map((replica) => replica.slots), 1);
    return waiting <= slots ? {} : { spreadMs: Math.round(((waiting - slots) * meanRunMs) / slots) };
  }
}

/** Time until models have drained and are unloaded one after another, milliseconds. */
function unloadMs(models: readonly PlacedModel[]): number {
  return drainMs(models.reduce((sum, { running }) => sum + running, 0)) + models.length * idleUnloadMs;
}
