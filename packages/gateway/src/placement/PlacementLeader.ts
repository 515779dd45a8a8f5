import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { EngineClient } from '../contracts/EngineClient.js';
import type { DaemonReport, ReadyEstimate } from '../peers/Types.js';
import type { ReplicaDirectory, ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import { pause } from '../pause.js';
import type { Configuration, EngineSpecification, Instant, Replica } from '../Types.js';
import { DemandAggregator } from './DemandAggregator.js';
import { estimateReady } from './estimateReady.js';
import { expectedDuration } from './expectedDuration.js';
import { OrderSender, pollMs, type SendResult } from './OrderSender.js';
import { planAdapters } from './planAdapters.js';
import { planModels } from './planModels.js';
import { TrackedReplica, type RunningCounts } from './TrackedReplica.js';
import { StoreLoadLimiter } from './StoreLoadLimiter.js';
import type { PlacedRateLimit, PlacedReplica, PlacementInput, PlacementPlan, PlannedOrder } from './Types.js';
import { isLoadingFromStore, isStoreLoad, nextStoreLoads } from './weights.js';

/** Maximum age of a report, milliseconds. A report that still differs after this time is authoritative. */
const maximumReportLagMs = 600;
/** Time in which a new leader learns of the replicas and the demand, milliseconds. */
const warmUpMs = 1_000;
/** After this time replicas whose state cannot be read no longer delay the loads of missing models, milliseconds. */
const syncTimeoutMs = 3_000;
/** Time after a refused order in which the replica gets no other order, milliseconds. */
const refusedBackoffMs = 1_000;
/** Minimum time between two plans, milliseconds. One plan covers all reports received in between. */
const minimumPlanIntervalMs = 25;

/** Plans the placement of models and sends orders to the replicas while this daemon holds the lease. */
export class PlacementLeader {
  private readonly _trackedReplicas = new Map<string, TrackedReplica>();
  private readonly _demand = new DemandAggregator();
  private readonly _storeLoadLimiter = new StoreLoadLimiter();
  private readonly _sender: OrderSender;
  private readonly _onHoldings = new common.Emitter<ReplicaHoldings>();
  /** Fires when the usable models of a replica change. */
  public readonly onHoldings = this._onHoldings.event;
  private _token: number | undefined;
  private readonly _onPlanned = new common.Emitter<undefined>();
  /** Fires after each plan, once the estimates are updated. */
  public readonly onPlanned = this._onPlanned.event;
  private _planTimer: NodeJS.Timeout | undefined;
  private _lastPlanMs = Number.NEGATIVE_INFINITY;
  private _estimates: readonly ReadyEstimate[] = [];
  /** Models that the store was to load next in the last plan, by service. */
  private readonly _nextStoreLoads = new Map<string, ReadonlySet<string>>();
  private _lastNewReplicaMs = 0;
  private _leaderSinceMs = 0;

  public constructor(
    self: string,
    private readonly _configuration: () => Configuration | undefined,
    private readonly _directory: ReplicaDirectory,
    private readonly _engines: EngineClient,
    private readonly _orderToken: (now: Instant) => number | undefined,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
    private readonly _rateLimit: (replicaId: string) => PlacedRateLimit | undefined = () => undefined,
    private readonly _slowness: (replicaId: string) => number = () => 1,
  ) {
    const isCurrent = (tracked: TrackedReplica): boolean => this._isCurrent(tracked);
    this._sender = new OrderSender(self, _engines, _orderToken, isCurrent, _clock, _log);
  }

  /** Applies a daemon's report. */
  public applyReport(report: DaemonReport): void {
    const { steadyMs } = this._clock.now();
    this._demand.apply(report, steadyMs);
    for (const running of report.running) {
      const { model, adapter } = running.target ?? {};
      if (model !== undefined && adapter !== undefined) {
        this._trackedReplicas.get(running.replicaId)?.touchAdapter(model, adapter, steadyMs);
      }
    }
    if (report.waiting.length > 0) {
      this._planSoon();
    }
  }

  /** Checks the lease, updates the tracked replicas and plans. Called several times per second. */
  public tick(): void {
    const token = this._orderToken(this._clock.now());
    if (token === undefined) {
      this._stopLeading();
      return;
    }
    if (token !== this._token) {
      this._token = token;
      this._leaderSinceMs = this._clock.now().steadyMs;
      this._trackedReplicas.clear();
      this._log.info('Gives orders as the placement leader.', { term: token });
    }
    this._updateTrackedReplicas();
    this._plan();
  }

  /** Holdings of all replicas, for a daemon that has just connected. */
  public holdings(): readonly ReplicaHoldings[] {
    return [...this._trackedReplicas.values()]
      .filter((tracked) => tracked.sequence !== undefined)
      .map((tracked) => tracked.holdings());
  }

  /** True while this daemon is the placement leader. */
  public get isLeading(): boolean {
    return this._token !== undefined;
  }

  /** Expected ready times of the models that requests wait for, as of the last plan. */
  public estimates(): readonly ReadyEstimate[] {
    return this._estimates;
  }

  /** Running requests of all daemons, by replica id. */
  public runningTotals(): ReadonlyMap<string, number> {
    return new Map([...this._runningCounts()].map(([id, counts]) => [id, counts.total]));
  }

  private _stopLeading(): void {
    if (this._token !== undefined) {
      this._log.warn('Gives no more orders: this daemon is no longer the placement leader.', { term: this._token });
      this._token = undefined;
      this._trackedReplicas.clear();
      this._estimates = [];
    }
  }

  private _planSoon(): void {
    if (this._token === undefined || this._planTimer !== undefined) {
      return;
    }
    const delayMs = Math.max(this._lastPlanMs + minimumPlanIntervalMs - this._clock.now().steadyMs, 0);
    this._planTimer = setTimeout(() => {
      this._planTimer = undefined;
      this._plan();
    }, delayMs);
  }

  private _updateTrackedReplicas(): void {
    const engines = this._engineServices();
    const replicas = this._directory.all().filter((replica) => engines.has(replica.service));
    const present = new Set(replicas.map((replica) => replica.id));
    for (const id of this._trackedReplicas.keys()) {
      if (!present.has(id)) {
        this._trackedReplicas.delete(id);
      }
    }
    for (const replica of replicas) {
      this._trackReplica(replica);
    }
  }

  private _trackReplica(replica: Replica): void {
    const tracked = this._trackedReplicas.get(replica.id);
    if (tracked?.replica.bornMs === replica.bornMs) {
      tracked.replica = replica;
      return;
    }
    const added = new TrackedReplica(replica);
    this._lastNewReplicaMs = this._clock.now().steadyMs;
    this._trackedReplicas.set(replica.id, added);
    void this._sync(added);
  }

  /**
   * Reads the replica's state until a report is recent enough and shows no order in progress. Until then the replica
   * gets no order: a load that a former leader started takes memory although the model is not listed yet.
   */
  private async _sync(tracked: TrackedReplica): Promise<void> {
    const startedMs = this._clock.now().steadyMs;
    tracked.isSyncing = true;
    while (this._isCurrent(tracked) && !(await this._readState(tracked, startedMs))) {
      await pause(pollMs);
    }
    tracked.isSyncing = false;
  }

  /** Reads and applies a report. True if it was applied and shows no order in progress. */
  private async _readState(tracked: TrackedReplica, startedMs: number): Promise<boolean> {
    const outcome = await this._engines.readReport(tracked.replica);
    if (!outcome.ok) {
      this._log.warn('Could not read a report.', { replica: tracked.replica.id, reason: outcome.failure.message });
      return false;
    }
    const { steadyMs } = this._clock.now();
    tracked.recordFormerOrder(outcome.value.orderInProgress, steadyMs);
    const isApplied = tracked.sync(outcome.value, steadyMs, steadyMs - startedMs >= maximumReportLagMs);
    if (isApplied) {
      this._publishHoldings(tracked);
    }
    return isApplied && !outcome.value.orderInProgress;
  }

  private _plan(): void {
    const now = this._clock.now();
    if (this._orderToken(now) === undefined) {
      return;
    }
    this._lastPlanMs = now.steadyMs;
    const inputs = this._inputs(now.steadyMs);
    for (const input of inputs) {
      this._planService(input, now.steadyMs);
      this._nextStoreLoads.set(input.service, nextStoreLoads(input));
    }
    this._estimates = inputs.flatMap((input) => estimateReady(input, now.steadyMs));
    this._onPlanned.fire(undefined);
  }

  private _planService(input: PlacementInput, nowMs: number): void {
    // Adapters are loaded first: that takes milliseconds, and no adapter can be loaded during the load of a model.
    const adapterOrders = planAdapters(input, nowMs);
    const reservedIds = new Set(adapterOrders.map((order) => order.replicaId));
    const plan = planModels(input, nowMs, reservedIds);
    this._applyClearings(plan, nowMs);
    for (const order of [...adapterOrders, ...plan.orders]) {
      const tracked = this._trackedReplicas.get(order.replicaId);
      if (tracked !== undefined) {
        void this._execute(tracked, order, input);
      }
    }
  }

  private _applyClearings(plan: PlacementPlan, nowMs: number): void {
    for (const replicaId of plan.releases) {
      this._setClearing(replicaId, undefined, [], nowMs);
    }
    for (const { replicaId, clearingFor, retiring } of plan.clearings) {
      this._setClearing(replicaId, clearingFor, retiring, nowMs);
    }
  }

  private _setClearing(replicaId: string, model: string | undefined, retiring: readonly string[], nowMs: number): void {
    const tracked = this._trackedReplicas.get(replicaId);
    if (tracked !== undefined) {
      const before = tracked.clearingFor;
      tracked.clearFor(model, retiring, nowMs);
      this._log.info('Clearing.', { replica: replicaId, clearingFor: model, before, retiring });
      this._publishHoldings(tracked);
    }
  }

  private _engineServices(): ReadonlyMap<string, EngineSpecification> {
    const services = [...(this._configuration()?.services.values() ?? [])];
    return new Map(services.flatMap(({ name, engine }) => (engine === undefined ? [] : [[name, engine]])));
  }

  private _inputs(nowMs: number): readonly (PlacementInput & { readonly service: string })[] {
    const running = this._runningCounts();
    const demands = this._demand.demands(nowMs);
    return [...this._engineServices()].map(([service, engine]) => ({
      service,
      models: engine.models,
      replicas: this._placedReplicas(service, engine, running, nowMs),
      demands: demands.filter((demand) => engine.models.has(demand.modelReference.model)),
      mayLoadMissing: this._mayLoadMissing(nowMs),
      maximumStoreLoads: this._maximumStoreLoads(engine),
      nextStoreLoads: this._nextStoreLoads.get(service) ?? new Set<string>(),
    }));
  }

  /** False while models that seem missing may be on replicas whose state is not known yet. */
  private _mayLoadMissing(nowMs: number): boolean {
    const areSynced = [...this._trackedReplicas.values()].every((tracked) => tracked.sequence !== undefined);
    return nowMs - this._leaderSinceMs >= warmUpMs && (areSynced || nowMs - this._lastNewReplicaMs >= syncTimeoutMs);
  }

  private _maximumStoreLoads(engine: EngineSpecification): number {
    const longestLoadMs = Math.max(...[...engine.models.values()].map(({ loadMs }) => loadMs.store));
    const allowed = Math.max(1, Math.floor(engine.storeLoadsPerSecond));
    return Math.min(this._storeLoadLimiter.maximumLoads(longestLoadMs), allowed);
  }

  private _placedReplicas(
    service: string,
    engine: EngineSpecification,
    running: ReadonlyMap<string, RunningCounts>,
    nowMs: number,
  ): readonly PlacedReplica[] {
    const unreachable = this._demand.unreachable();
    return [...this._trackedReplicas.values()]
      .filter((tracked) => tracked.replica.service === service)
      .map((tracked) => {
        const { id } = tracked.replica;
        const { weightMegabytes, adapterSlots } = engine;
        const limits = { weightMegabytes, adapterSlots, slowness: this._slowness(id) };
        return tracked.toPlacedReplica(limits, running.get(id), unreachable.has(id), nowMs, this._rateLimit(id));
      });
  }

  private _runningCounts(): ReadonlyMap<string, RunningCounts> {
    const counts = new Map<string, RunningCounts>();
    for (const { replicaId, target: modelReference, count } of this._demand.running()) {
      const entry = counts.get(replicaId) ?? { total: 0, byModel: new Map<string, number>() };
      entry.total += count;
      if (modelReference !== undefined) {
        entry.byModel.set(modelReference.model, (entry.byModel.get(modelReference.model) ?? 0) + count);
      }
      counts.set(replicaId, entry);
    }
    return counts;
  }

  private _storeLoads(nowMs: number): number {
    return [...this._trackedReplicas.values()].filter(
      (tracked) => isLoadingFromStore(tracked) || tracked.hasFormerOrder(nowMs),
    ).length;
  }

  private async _execute(tracked: TrackedReplica, order: PlannedOrder, input: PlacementInput): Promise<void> {
    const startedMs = this._clock.now().steadyMs;
    const storeLoads = this._storeLoads(startedMs) + 1;
    const estimateMs = (): number =>
      expectedDuration(order, input) * this._storeLoadLimiter.slowdown(order, storeLoads);
    const expectedMs = estimateMs();
    const { kind, model, adapter, tier } = order;
    tracked.order = {
      kind,
      model,
      tier,
      expectedDoneMs: startedMs + expectedMs,
      ...(adapter !== undefined && { adapter }),
    };
    if (order.adapter === undefined) {
      tracked.clearFor(order.clearingFor, [], startedMs);
    }
    if (order.kind === 'unload') {
      this._publishHoldings(tracked);
    }
    const answer = await this._sender.sendWithRetries(tracked, order);
    this._logOrder(tracked, order, answer);
    if (answer === 'accepted' || answer === 'alreadyHolds') {
      const nominalMs = input.models.get(order.model)?.loadMs.store ?? 0;
      const isFromStore = isStoreLoad(order);
      const recordLoadTime = (): void => {
        if (isFromStore) {
          this._storeLoadLimiter.recordLoad(nominalMs, this._clock.now().steadyMs - startedMs, storeLoads);
          tracked.order = tracked.order && { ...tracked.order, expectedDoneMs: startedMs + estimateMs() };
        }
      };
      await this._sender.awaitCompletion(tracked, order, expectedMs, recordLoadTime);
      recordLoadTime();
    } else {
      await this._recover(tracked, answer);
    }
    tracked.order = undefined;
    this._publishHoldings(tracked);
    this._planSoon();
  }

  /** Handles a refused order: another order is in progress, or the tracked state differs from the replica's state. */
  private async _recover(tracked: TrackedReplica, answer: SendResult): Promise<void> {
    // The demand may have changed by the time the replica's state is known again.
    tracked.clearFor(undefined, [], this._clock.now().steadyMs);
    if (answer === 'conflict') {
      await pause(pollMs / 2);
      await this._sync(tracked);
    } else {
      tracked.backoffUntilMs = this._clock.now().steadyMs + refusedBackoffMs;
    }
  }

  private _publishHoldings(tracked: TrackedReplica): void {
    if (this._isCurrent(tracked) && tracked.sequence !== undefined) {
      this._onHoldings.fire(tracked.holdings());
    }
  }

  private _isCurrent(tracked: TrackedReplica): boolean {
    return this._token !== undefined && this._trackedReplicas.get(tracked.replica.id) === tracked;
  }

  private _logOrder(tracked: TrackedReplica, order: PlannedOrder, answer: SendResult): void {
    const { kind, model, adapter, tier, reason, clearingFor } = order;
    const { id } = tracked.replica;
    this._log.info('Order.', {
      replica: id,
      kind,
      model,
      adapter,
      tier,
      reason,
      clearingFor,
      sequence: tracked.sequence,
      answer,
    });
  }
}
