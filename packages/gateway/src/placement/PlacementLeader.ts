import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { EngineClient } from '../contracts/EngineClient.js';
import type { DaemonReport, ReadyEstimate } from '../peers/Types.js';
import type { ReplicaDirectory, ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import { pause } from '../pause.js';
import type { Configuration, EngineSpecification, Instant, Replica } from '../Types.js';
import { DemandBook } from './DemandBook.js';
import { estimateReady } from './estimateReady.js';
import { expectedDuration } from './expectedDuration.js';
import { OrderSender, pollMs, type SentOrder } from './OrderSender.js';
import { planAdapters } from './planAdapters.js';
import { planModels } from './planPlacement.js';
import { ReplicaBook, type RunningCounts } from './ReplicaBook.js';
import { StorePace } from './StorePace.js';
import type { PlacedReplica, PlacementInput, PlacementPlan, PlannedOrder } from './Types.js';
import { isLoadingFromStore, isStoreLoad } from './weights.js';

/** A report may be this old; one that still differs after this time is right, milliseconds. */
const reportLagMs = 600;
/** Time in which a new leader hears of the replicas and of what is asked for, milliseconds. */
const settleMs = 1_000;
/** A replica whose state cannot be read for this long does not keep the models that seem missing from being loaded, milliseconds. */
const syncPatienceMs = 3_000;
/** Pause after a refused order, milliseconds. */
const refusedQuietMs = 1_000;
/** Least time between two plans, milliseconds. One plan answers all reports that came meanwhile. */
const planGapMs = 25;

/** Gives orders to the model replicas while this daemon holds the lease. */
export class PlacementLeader {
  private readonly _books = new Map<string, ReplicaBook>();
  private readonly _demand = new DemandBook();
  private readonly _pace = new StorePace();
  private readonly _sender: OrderSender;
  private readonly _onHoldings = new common.Emitter<ReplicaHoldings>();
  /** Fires when the usable models of a replica change. */
  public readonly onHoldings = this._onHoldings.event;
  private _token: number | undefined;
  private readonly _onPlanned = new common.Emitter<undefined>();
  /** Fires after each plan, with new estimates. */
  public readonly onPlanned = this._onPlanned.event;
  private _planTimer: NodeJS.Timeout | undefined;
  private _plannedMs = Number.NEGATIVE_INFINITY;
  private _estimates: readonly ReadyEstimate[] = [];
  private _lastNewReplicaMs = 0;
  private _ledSinceMs = 0;

  public constructor(
    self: string,
    private readonly _configuration: () => Configuration | undefined,
    private readonly _directory: ReplicaDirectory,
    private readonly _engines: EngineClient,
    private readonly _orderToken: (now: Instant) => number | undefined,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    const isCurrent = (book: ReplicaBook): boolean => this._isCurrent(book);
    this._sender = new OrderSender(self, _engines, _orderToken, isCurrent, _clock, _log);
  }

  /** Takes over a daemon's report. */
  public applyReport(report: DaemonReport): void {
    const { steadyMs } = this._clock.now();
    this._demand.apply(report, steadyMs);
    for (const running of report.running) {
      const { model, adapter } = running.target ?? {};
      if (model !== undefined && adapter !== undefined) {
        this._books.get(running.replicaId)?.touchAdapter(model, adapter, steadyMs);
      }
    }
    if (report.waiting.length > 0) {
      this._planSoon();
    }
  }

  /** Follows the lease and the list of replicas, and plans. Called several times a second. */
  public tick(): void {
    const token = this._orderToken(this._clock.now());
    if (token === undefined) {
      this._stopLeading();
      return;
    }
    if (token !== this._token) {
      this._token = token;
      this._ledSinceMs = this._clock.now().steadyMs;
      this._books.clear();
      this._log.info('Gives orders from now on.', { term: token });
    }
    this._followDirectory();
    this._plan();
  }

  /** All holdings, for a daemon that has just connected. */
  public holdings(): readonly ReplicaHoldings[] {
    return [...this._books.values()].filter((book) => book.sequence !== undefined).map((book) => book.holdings());
  }

  /** True while this daemon gives orders. */
  public get leads(): boolean {
    return this._token !== undefined;
  }

  /** Expected times for the models that requests wait for, as of the last plan. */
  public estimates(): readonly ReadyEstimate[] {
    return this._estimates;
  }

  /** Requests that all daemons together run, by replica id. */
  public runningTotals(): ReadonlyMap<string, number> {
    return new Map([...this._runningCounts()].map(([id, counts]) => [id, counts.total]));
  }

  private _stopLeading(): void {
    if (this._token !== undefined) {
      this._log.warn('Gives no orders any more.', { term: this._token });
      this._token = undefined;
      this._books.clear();
      this._estimates = [];
    }
  }

  private _planSoon(): void {
    if (this._token === undefined || this._planTimer !== undefined) {
      return;
    }
    const delayMs = Math.max(this._plannedMs + planGapMs - this._clock.now().steadyMs, 0);
    this._planTimer = setTimeout(() => {
      this._planTimer = undefined;
      this._plan();
    }, delayMs);
  }

  private _followDirectory(): void {
    const engines = this._engineServices();
    const replicas = this._directory.all().filter((replica) => engines.has(replica.service));
    const present = new Set(replicas.map((replica) => replica.id));
    for (const id of this._books.keys()) {
      if (!present.has(id)) {
        this._books.delete(id);
      }
    }
    for (const replica of replicas) {
      this._followReplica(replica);
    }
  }

  private _followReplica(replica: Replica): void {
    const book = this._books.get(replica.id);
    if (book?.replica.bornMs === replica.bornMs) {
      book.replica = replica;
      return;
    }
    const opened = new ReplicaBook(replica);
    this._lastNewReplicaMs = this._clock.now().steadyMs;
    this._books.set(replica.id, opened);
    void this._sync(opened);
  }

  /**
   * Reads the replica's state until a report is new enough and shows no order in progress. Until then the replica gets
   * no order: a load that a former leader began does not stand among the models yet and takes memory all the same.
   */
  private async _sync(book: ReplicaBook): Promise<void> {
    const startedMs = this._clock.now().steadyMs;
    book.isSyncing = true;
    while (this._isCurrent(book) && !(await this._readState(book, startedMs))) {
      await pause(pollMs);
    }
    book.isSyncing = false;
  }

  /** True once the book matches a report without an order in progress. */
  private async _readState(book: ReplicaBook, startedMs: number): Promise<boolean> {
    const outcome = await this._engines.readReport(book.replica);
    if (!outcome.ok) {
      this._log.warn('Could not read a report.', { replica: book.replica.id, reason: outcome.failure.message });
      return false;
    }
    const { steadyMs } = this._clock.now();
    book.noteFormerOrder(outcome.value.orderInProgress, steadyMs);
    const isTaken = book.sync(outcome.value, steadyMs, steadyMs - startedMs >= reportLagMs);
    if (isTaken) {
      this._tellHoldings(book);
    }
    return isTaken && !outcome.value.orderInProgress;
  }

  private _plan(): void {
    const now = this._clock.now();
    if (this._orderToken(now) === undefined) {
      return;
    }
    this._plannedMs = now.steadyMs;
    const inputs = this._inputs(now.steadyMs);
    for (const input of inputs) {
      this._planService(input, now.steadyMs);
    }
    this._estimates = inputs.flatMap((input) => estimateReady(input, now.steadyMs));
    this._onPlanned.fire(undefined);
  }

  private _planService(input: PlacementInput, nowMs: number): void {
    // Adapters go first: they take some milliseconds, and no adapter can be loaded during the load of a model.
    const adapterOrders = planAdapters(input, nowMs);
    const taken = new Set(adapterOrders.map((order) => order.replicaId));
    const plan = planModels(input, nowMs, taken);
    this._applyClearings(plan, nowMs);
    for (const order of [...adapterOrders, ...plan.orders]) {
      const book = this._books.get(order.replicaId);
      if (book !== undefined) {
        void this._carryOut(book, order, input);
      }
    }
  }

  private _applyClearings(plan: PlacementPlan, nowMs: number): void {
    for (const replicaId of plan.releases) {
      this._clear(replicaId, undefined, [], nowMs);
    }
    for (const { replicaId, clearingFor, retiring } of plan.clearings) {
      this._clear(replicaId, clearingFor, retiring, nowMs);
    }
  }

  private _clear(replicaId: string, model: string | undefined, retiring: readonly string[], nowMs: number): void {
    const book = this._books.get(replicaId);
    if (book !== undefined) {
      const before = book.clearingFor;
      book.clearFor(model, retiring, nowMs);
      this._log.info('Clearing.', { replica: replicaId, clearingFor: model, before, retiring });
      this._tellHoldings(book);
    }
  }

  private _engineServices(): ReadonlyMap<string, EngineSpecification> {
    const services = [...(this._configuration()?.services.values() ?? [])];
    return new Map(services.flatMap(({ name, engine }) => (engine === undefined ? [] : [[name, engine]])));
  }

  private _inputs(nowMs: number): readonly PlacementInput[] {
    const running = this._runningCounts();
    const demands = this._demand.demands(nowMs);
    return [...this._engineServices()].map(([service, engine]) => ({
      models: engine.models,
      replicas: this._placed(service, engine, running, nowMs),
      demands: demands.filter((demand) => engine.models.has(demand.target.model)),
      mayCover: this._mayCover(nowMs),
      maximumStoreLoads: this._maximumStoreLoads(engine),
    }));
  }

  /** False while models that seem missing may be on replicas that have not been heard of yet. */
  private _mayCover(nowMs: number): boolean {
    const areSynced = [...this._books.values()].every((book) => book.sequence !== undefined);
    return nowMs - this._ledSinceMs >= settleMs && (areSynced || nowMs - this._lastNewReplicaMs >= syncPatienceMs);
  }

  private _maximumStoreLoads(engine: EngineSpecification): number {
    const longestLoadMs = Math.max(...[...engine.models.values()].map(({ loadMs }) => loadMs.store));
    const allowed = Math.max(1, Math.floor(engine.storeLoadsPerSecond));
    return Math.min(this._pace.maximumLoads(longestLoadMs), allowed);
  }

  private _placed(
    service: string,
    engine: EngineSpecification,
    running: ReadonlyMap<string, RunningCounts>,
    nowMs: number,
  ): readonly PlacedReplica[] {
    const unreachable = this._demand.unreachable();
    return [...this._books.values()]
      .filter((book) => book.replica.service === service)
      .map((book) => book.placed(engine, running.get(book.replica.id), unreachable.has(book.replica.id), nowMs));
  }

  private _runningCounts(): ReadonlyMap<string, RunningCounts> {
    const counts = new Map<string, RunningCounts>();
    for (const { replicaId, target, count } of this._demand.running()) {
      const entry = counts.get(replicaId) ?? { total: 0, byModel: new Map<string, number>() };
      entry.total += count;
      if (target !== undefined) {
        entry.byModel.set(target.model, (entry.byModel.get(target.model) ?? 0) + count);
      }
      counts.set(replicaId, entry);
    }
    return counts;
  }

  private _storeLoads(nowMs: number): number {
    return [...this._books.values()].filter((book) => isLoadingFromStore(book) || book.hasFormerOrder(nowMs)).length;
  }

  private async _carryOut(book: ReplicaBook, order: PlannedOrder, input: PlacementInput): Promise<void> {
    const startedMs = this._clock.now().steadyMs;
    const storeLoads = this._storeLoads(startedMs) + 1;
    const expectMs = (): number => expectedDuration(order, input) * this._pace.slowdown(order, storeLoads);
    const expectedMs = expectMs();
    const { kind, model, adapter, tier } = order;
    book.order = {
      kind,
      model,
      tier,
      expectedDoneMs: startedMs + expectedMs,
      ...(adapter !== undefined && { adapter }),
    };
    if (order.adapter === undefined) {
      book.clearFor(order.clearingFor, [], startedMs);
    }
    if (order.kind === 'unload') {
      this._tellHoldings(book);
    }
    const answer = await this._sender.sendUntilTaken(book, order);
    this._logOrder(book, order, answer);
    if (answer === 'accepted' || answer === 'alreadyHolds') {
      const statedMs = input.models.get(order.model)?.loadMs.store ?? 0;
      const isFromStore = isStoreLoad(order);
      const recordPace = (): void => {
        if (isFromStore) {
          this._pace.recordLoad(statedMs, this._clock.now().steadyMs - startedMs, storeLoads);
          book.order = book.order && { ...book.order, expectedDoneMs: startedMs + expectMs() };
        }
      };
      await this._sender.awaitEnd(book, order, expectedMs, recordPace);
      recordPace();
    } else {
      await this._recover(book, answer);
    }
    book.order = undefined;
    this._tellHoldings(book);
    this._planSoon();
  }

  /** After a refused order: another order is in progress, or the replica's state is not what the book says. */
  private async _recover(book: ReplicaBook, answer: SentOrder): Promise<void> {
    // The demand may have moved on before the replica's state is known again.
    book.clearFor(undefined, [], this._clock.now().steadyMs);
    if (answer === 'conflict') {
      await pause(pollMs / 2);
      await this._sync(book);
    } else {
      book.quietUntilMs = this._clock.now().steadyMs + refusedQuietMs;
    }
  }

  private _tellHoldings(book: ReplicaBook): void {
    if (this._isCurrent(book) && book.sequence !== undefined) {
      this._onHoldings.fire(book.holdings());
    }
  }

  private _isCurrent(book: ReplicaBook): boolean {
    return this._token !== undefined && this._books.get(book.replica.id) === book;
  }

  private _logOrder(book: ReplicaBook, order: PlannedOrder, answer: SentOrder): void {
    const { kind, model, adapter, tier, reason, clearingFor } = order;
    const { id } = book.replica;
    this._log.info('Order.', {
      replica: id,
      kind,
      model,
      adapter,
      tier,
      reason,
      clearingFor,
      sequence: book.sequence,
      answer,
    });
  }
}
