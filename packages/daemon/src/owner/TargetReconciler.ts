import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { EngineClient } from './EngineClient.js';
import { OrderSender } from './OrderSender.js';
import type { ReportAppender } from './ReportAppender.js';
import { Signal } from './Signal.js';
import {
  findModel,
  hasOlderSender,
  hasOrder,
  isAccountedFor,
  isAdoptable,
  ordersAt,
  replicasAt,
} from './targetState.js';
import type { OwnerServices } from './OwnerServices.js';
import type { EngineModel, FailedLoad, FinishedLoad } from './Types.js';

/** Interval of index reads during a load or unload, milliseconds; a cold start loses half of it on average. */
const minimumIntervalMs = 20;
/** Long loads are read at intervals of this share of the time that they have taken so far. */
const longLoadIntervalShare = 0.02;
const maximumIntervalMs = 500;
/** Interval while only the results of broken attempts have to be reported. */
const settlingIntervalMs = 200;
/** Interval while the target cannot be read. */
const unreachableIntervalMs = 200;
/** Consecutive index reads without a model after which it counts as absent. */
const readsUntilAbsent = 2;
/** Index reads after an inconsistency of index and state has been reported. */
const verifyRounds = readsUntilAbsent + 1;
/** The index does not show adapters in transit; an absent one counts as failed only after this time. */
const adapterTransitLimitMs = 5_000;

/** Events of a reconciler, for the planner. */
export interface ReconcilerEvents {
  readonly onLoaded: (load: FinishedLoad) => void;
  readonly onFailed: (load: FailedLoad) => void;
  readonly onStray: (target: common.TargetAddress, present: boolean) => void;
}

/**
 * Orders that this daemon has adopted, with the claim. Each is adopted once, however long its load takes and however often
 * this daemon loses sight of its lease meanwhile.
 */
export type AdoptedOrders = Map<decisions.OrderId, decisions.ClaimOffset>;

/**
 * Reconciles the engine of one target with the replayed state. Each round compares state and engine afresh, so the work
 * resumes after any failure, also of a former owner.
 */
export class TargetReconciler {
  private readonly _signal = new Signal();
  private readonly _sender: OrderSender;
  /** Time at which a transition was first seen, per replica or order of an adapter. */
  private readonly _startedMs = new Map<string, number>();
  private readonly _absentReads = new Map<string, number>();
  private _verifyRoundsLeft = 0;
  private _hasStrays = false;
  private _stopped = false;

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _reports: ReportAppender,
    private readonly _events: ReconcilerEvents,
    public readonly target: common.TargetAddress,
    private readonly _adopted: AdoptedOrders,
  ) {
    this._sender = new OrderSender(_services, _reports, () => {
      this._signal.raise();
    });
  }

  /** Starts the next round now. */
  public trigger(): void {
    this._signal.raise();
  }

  /** Also compares ready replicas with the index in the next rounds. */
  public verify(): void {
    this._verifyRoundsLeft = verifyRounds;
    this._signal.raise();
  }

  /** Ends the loop after the current round. */
  public stop(): void {
    this._stopped = true;
    this._signal.raise();
  }

  /** Runs rounds until no work is left at the target. */
  public async run(): Promise<void> {
    while (this._shouldContinue()) {
      const reached = await this._runRound();
      if (this._shouldContinue()) {
        await this._signal.sleep(reached ? this._intervalMs() : unreachableIntervalMs);
      }
    }
    this._startedMs.clear();
    this._absentReads.clear();
  }

  /** Whether state and engine may differ at this target. */
  public hasWork(): boolean {
    const { state, incarnation } = this._services.control.log;
    const isOwner = this._services.lease.currentClaim() !== undefined;
    const orders = ordersAt(state, this.target);
    if (orders.some((order) => order.senders.has(incarnation))) {
      return true;
    }
    if (!isOwner) {
      return false;
    }
    return orders.some((order) => isAdoptable(state, order)) || this._isInTransition();
  }

  private _isInTransition(): boolean {
    return (
      this._verifyRoundsLeft > 0 ||
      this._hasStrays ||
      replicasAt(this._services.control.log.state, this.target).some(
        (replica) =>
          replica.state !== 'ready' || [...replica.adapters.values()].some((adapter) => adapter.state !== 'ready'),
      )
    );
  }

  private _shouldContinue(): boolean {
    return !this._stopped && this.hasWork();
  }

  private async _runRound(): Promise<boolean> {
    const claim = this._services.lease.currentClaim();
    const { incarnation } = this._services.control.log;
    if (claim !== undefined) {
      await this._takeOver(claim);
      await this._restoreFence(claim);
    }
    const { state } = this._services.control.log;
    this._sender.dropSettled(state);
    for (const order of ordersAt(state, this.target)) {
      if (order.senders.has(incarnation)) {
        this._sender.advance(order);
      }
    }
    return claim !== undefined && this._compareWithIndex();
  }

  /** Adopts the orders of former owners, and fences off their claims where the engine checks tokens. */
  private async _takeOver(claim: decisions.ClaimOffset): Promise<void> {
    const { control, engines, context } = this._services;
    const formerOrders = ordersAt(control.log.state, this.target).filter((order) => hasOlderSender(order, claim));
    if (formerOrders.length === 0) {
      return;
    }
    const checked = decisions.findTarget(control.log.state, this.target)?.target.fencing === 'checked';
    if (checked && (control.log.state.fences.get(this.target) ?? -1) < claim) {
      // Adopt first: the fence settles older senders in replay, and an order without senders cannot be adopted.
      await this._adopt(formerOrders, claim);
      if (await engines.raiseFence(this.target, claim)) {
        await this._reports.append({ kind: 'fenceRaised', target: this.target, claim });
        context.timeline.record({ part: 'owner', event: 'fenceRaised', detail: { target: this.target, claim } });
      }
      return;
    }
    await this._adopt(formerOrders, claim);
  }

  /** Raises the fence again: a restarted engine has lost its token and could accept an order of a former owner. */
  private async _restoreFence(claim: decisions.ClaimOffset): Promise<void> {
    const { control, engines } = this._services;
    const checked = decisions.findTarget(control.log.state, this.target)?.target.fencing === 'checked';
    if (checked && this._verifyRoundsLeft === verifyRounds) {
      await engines.raiseFence(this.target, claim);
    }
  }

  private async _adopt(orders: readonly decisions.OrderEntry[], claim: decisions.ClaimOffset): Promise<void> {
    const { control, context } = this._services;
    const cell = context.settings.daemon.cell;
    const adoptable = orders.filter(
      (order) =>
        this._adopted.get(order.order) !== claim &&
        order.senders.get(control.incarnation) !== claim &&
        isAdoptable(control.log.state, order),
    );
    await Promise.all(
      adoptable.map(async (order) => {
        if (await this._reports.append({ kind: 'orderAdopted', cell, claim, order: order.order })) {
          this._adopted.set(order.order, claim);
        }
      }),
    );
  }

  /** Reads the index and reports the transitions that it confirms. Returns whether the engine was reached. */
  private async _compareWithIndex(): Promise<boolean> {
    const stateBefore = this._services.control.log.state;
    const index = await this._services.engines.readIndex(this.target);
    const claim = this._services.lease.currentClaim();
    if (claim === undefined) {
      return true;
    }
    if (index === undefined) {
      this._reportUndelivered(stateBefore, claim);
      return false;
    }
    for (const replica of replicasAt(stateBefore, this.target)) {
      this._compareReplica(stateBefore, replica, index);
    }
    this._handleStrays(stateBefore, index, claim);
    this._verifyRoundsLeft = Math.max(0, this._verifyRoundsLeft - 1);
    return true;
  }

  private _compareReplica(
    stateBefore: decisions.ControlState,
    replica: decisions.ReplicaEntry,
    index: readonly EngineModel[],
  ): void {
    const model = findModel(index, replica);
    const present = model !== undefined && model.state !== 'UNAVAILABLE';
    const id = replica.replica;
    if (replica.state !== 'ready') {
      this._recordStart(`${replica.state} ${id}`);
    }
    if (replica.state === 'loading') {
      if (model?.state === 'READY') {
        this._reportReady(replica);
      } else if (this._isAbsent(`load ${id}`, present || this._hasOwnOrder(stateBefore, id))) {
        this._reportFailed(replica, this._failureReason(id), stateBefore);
      }
    } else if (replica.state === 'unloading') {
      // A late unload of a former owner is harmless: the model is not loaded here again before that order is settled.
      if (this._isAbsent(`unload ${id}`, present, 1)) {
        void this._reports.append({ kind: 'replicaUnloaded', replica: id, readAfter: stateBefore.appliedOffset });
      }
    } else if (this._isAbsent(`ready ${id}`, present)) {
      this._reportFailed(replica, 'the engine no longer holds the model', stateBefore);
    } else if (model !== undefined && present) {
      this._compareAdapters(stateBefore, replica, model);
    }
  }

  private _compareAdapters(
    stateBefore: decisions.ControlState,
    replica: decisions.ReplicaEntry,
    model: EngineModel,
  ): void {
    for (const entry of replica.adapters.values()) {
      const present = model.adapters.includes(entry.adapter);
      const hasUnsettledOrder = [...stateBefore.orders.values()].some(
        (order) => order.replica === replica.replica && order.adapter === entry.adapter,
      );
      if (entry.state === 'loading' && present) {
        void this._reports.append({ kind: 'adapterReady', order: entry.order });
      } else if (this._isAdapterGone(entry, present || hasUnsettledOrder)) {
        const commonFields = { kind: 'adapterUnloaded', replica: replica.replica, adapter: entry.adapter } as const;
        void this._reports.append({ ...commonFields, readAfter: stateBefore.appliedOffset });
      }
    }
  }

  /** Whether this daemon may still send an order for the replica. Replay accounts for the order of a paused owner. */
  private _hasOwnOrder(state: decisions.ControlState, replica: decisions.ReplicaId): boolean {
    const { incarnation } = this._services.control.log;
    return [...state.orders.values()].some(
      (order) => order.replica === replica && order.adapter === undefined && order.senders.has(incarnation),
    );
  }

  private _isAdapterGone(entry: decisions.AdapterEntry, present: boolean): boolean {
    const key = `adapter ${entry.order} ${entry.state}`;
    if (entry.state === 'loading') {
      this._recordStart(`adapter ${entry.order}`);
      const isAnswered = this._sender.lastAnswer(entry.order) !== undefined;
      const startedMs = this._startedMs.get(`adapter ${entry.order}`) ?? 0;
      const isOverdue = this._services.context.now() - startedMs > adapterTransitLimitMs;
      return this._isAbsent(key, present || !(isAnswered || isOverdue));
    }
    return this._isAbsent(key, present);
  }

  /** Unloads stray models: models that neither a replica nor an unsettled order accounts for. */
  private _handleStrays(
    stateBefore: decisions.ControlState,
    index: readonly EngineModel[],
    claim: decisions.ClaimOffset,
  ): void {
    const strays = index.filter(
      (model) => model.state !== 'UNAVAILABLE' && !isAccountedFor(stateBefore, this.target, model),
    );
    for (const model of strays) {
      const key = `stray ${model.name}@${model.version}`;
      // The first read only counts a stray: the state may be older than the index.
      if (this._isAbsent(key, false)) {
        this._absentReads.delete(key);
        this._unloadStray(model, claim);
      }
    }
    if (strays.length > 0 !== this._hasStrays) {
      this._hasStrays = strays.length > 0;
      this._events.onStray(this.target, this._hasStrays);
    }
  }

  private _unloadStray(model: EngineModel, claim: decisions.ClaimOffset): void {
    const { state } = this._services.control.log;
    const [partner = '', ...rest] = model.name.split('/');
    const version = { partner, model: rest.join('/'), version: model.version };
    // Checked again just before sending: a recent decision may account for the model by now.
    if (model.state !== 'UNLOADING' && !isAccountedFor(state, this.target, model)) {
      this._services.context.timeline.record({
        part: 'owner',
        event: 'strayUnloaded',
        model: model.name,
        detail: { target: this.target, version: model.version },
      });
      void this._services.engines.unload(this.target, version, claim);
    }
  }

  /** Reports undelivered loads of this claim as failed: they cannot be in progress, whatever the index would show. */
  private _reportUndelivered(state: decisions.ControlState, claim: decisions.ClaimOffset): void {
    for (const replica of replicasAt(state, this.target)) {
      const id = replica.replica;
      if (replica.state === 'loading' && id > claim && !hasOrder(state, id) && this._sender.wasNeverDelivered(id)) {
        this._reportFailed(replica, 'the engine cannot be reached; nothing was sent', state);
      }
    }
  }

  private _reportReady(replica: decisions.ReplicaEntry): void {
    const id = replica.replica;
    const durationMs =
      this._services.context.now() - (this._startedMs.get(`loading ${id}`) ?? this._services.context.now());
    void this._reports.append({ kind: 'replicaReady', replica: id }).then((accepted) => {
      if (accepted) {
        this._startedMs.delete(`loading ${id}`);
        this._events.onLoaded({ replica, durationMs });
      }
    });
  }

  private _reportFailed(replica: decisions.ReplicaEntry, reason: string, stateBefore: decisions.ControlState): void {
    const commonFields = { kind: 'replicaFailed', replica: replica.replica, reason } as const;
    void this._reports.append({ ...commonFields, readAfter: stateBefore.appliedOffset }).then((accepted) => {
      if (accepted) {
        this._startedMs.delete(`loading ${replica.replica}`);
        this._events.onFailed({ target: this.target, model: EngineClient.modelName(replica), reason });
      }
    });
  }

  private _failureReason(id: decisions.ReplicaId): string {
    const answer = this._sender.lastAnswer(id);
    return answer?.kind === 'refused' ? answer.message : 'the engine does not hold the model after the load order';
  }

  private _recordStart(key: string): void {
    if (!this._startedMs.has(key)) {
      this._startedMs.set(key, this._services.context.now());
    }
  }

  /** Counts consecutive reads in which an entry is absent; returns whether the limit is reached. */
  private _isAbsent(key: string, present: boolean, limit: number = readsUntilAbsent): boolean {
    if (present) {
      this._absentReads.delete(key);
      return false;
    }
    const reads = (this._absentReads.get(key) ?? 0) + 1;
    this._absentReads.set(key, reads);
    return reads >= limit;
  }

  private _intervalMs(): number {
    if (!this._isInTransition()) {
      return settlingIntervalMs;
    }
    const nowMs = this._services.context.now();
    const shortestElapsedMs = Math.min(...[...this._startedMs.values()].map((startedMs) => nowMs - startedMs));
    const intervalMs = Number.isFinite(shortestElapsedMs) ? shortestElapsedMs * longLoadIntervalShare : 0;
    return Math.min(maximumIntervalMs, Math.max(minimumIntervalMs, intervalMs));
  }
}
