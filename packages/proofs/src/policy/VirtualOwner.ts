import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { cell, incarnation, type ControlLog } from './ControlLog.js';
import type { EventQueue } from './EventQueue.js';
import type { Measures } from './Measures.js';
import type { VirtualEngines } from './VirtualEngines.js';

/** Time after the start during which nothing is evicted, because usage is not yet known. */
const usageGraceMs = 3_000;
/** Time for which memory freed for a load stays reserved for it. */
const reservationMs = 30_000;
/** Duration of an unload. */
const unloadMs = 300;
/** Estimates vary, so waiting requests are refused only beyond this multiple of their remaining time. */
const estimateTolerance = 1.25;
/** Time for which requests are refused after a load found no free memory within its wait limit. */
const refusalMs = 1_500;
/** Interval at which queued loads are retried. */
const retryIntervalMs = 100;

/** Answer to a wake. */
export type WakeAnswer =
  { readonly kind: 'expected'; readonly readyInMs: number } | { readonly kind: 'refused'; readonly type: string };

/** A daemon's request for a model that is not ready. */
export interface Wake {
  readonly settings: decisions.ModelSettings;
  readonly urgency: common.Urgency;
  readonly remainingMs: number;
  readonly waiting: number;
}

/**
 * Makes the owner's decisions with the functions of `decisions`, in the order in which the daemon's owner calls them.
 * Appends take effect immediately.
 */
export class VirtualOwner {
  public readonly usage = new decisions.UsageRecorder(0);
  private readonly _queue = new decisions.LoadQueue();
  private readonly _loadTimes = new decisions.LoadTimes();
  private readonly _bucket: decisions.TokenBucket;
  private readonly _reservations = new Map<string, { readonly model: string; readonly untilMs: number }>();
  private readonly _readySinceMs = new Map<decisions.ReplicaId, number>();
  private readonly _loadingSinceMs = new Map<decisions.ReplicaId, number>();
  private readonly _refusedUntilMs = new Map<string, number>();
  private _retryScheduled = false;

  public constructor(
    private readonly _log: ControlLog,
    private readonly _events: EventQueue,
    private readonly _engines: VirtualEngines,
    private readonly _measures: Measures,
    private readonly _policy: decisions.KeepAlivePolicy,
    loadsPerSecond: number,
    private readonly _onReady: (replica: decisions.ReplicaEntry) => void,
  ) {
    this._bucket = new decisions.TokenBucket(loadsPerSecond, 0);
  }

  /** Answers a daemon's request for a model, and queues the load. */
  public wake(request: Wake): WakeAnswer {
    const { settings } = request;
    this.usage.touch(settings, undefined, this._events.nowMs);
    const answer = this._answer(request);
    this._processQueue();
    return answer;
  }

  /** Applies the rules that cover all models. */
  public upkeep(): void {
    const view = this._view();
    for (const { settings, urgency, replicas, reason } of decisions.chooseLoads(view)) {
      if (!this._queue.has(settings)) {
        this._measures.countRule(`wish:${reason.rule}`);
      }
      this._queue.add({ settings, urgency, replicas, remainingMs: Infinity, waiting: 0 }, this._events.nowMs);
    }
    for (const choice of decisions.chooseUnloads(view)) {
      this._unload(choice.replica, choice.reason);
    }
    for (const { replica, adapter } of decisions.chooseAdapterUnloads(view)) {
      this._unloadAdapter(replica, adapter);
    }
    this._processQueue();
  }

  /** Loads an adapter on a ready replica of its model. Returns false if there is not enough memory. */
  public loadAdapter(settings: decisions.ModelSettings, adapter: string, onLoaded: () => void): boolean {
    const bytes = settings.adapters.get(adapter)?.bytes ?? 0;
    let placement = decisions.placeAdapter(this._view(), settings, adapter, bytes);
    if (placement.kind === 'evict') {
      for (const victim of placement.adapters) {
        this._unloadAdapter(placement.replica, victim);
      }
      placement = decisions.placeAdapter(this._view(), settings, adapter, bytes);
    }
    if (placement.kind !== 'load') {
      return false;
    }
    const { replica, bytes: reserved } = placement;
    const body = {
      kind: 'adapterLoadDecided',
      cell,
      claim: this._log.claim,
      replica,
      adapter,
      bytes: reserved,
    } as const;
    const order = this._log.order(body);
    if (order === undefined) {
      return false;
    }
    const durationMs = this._engines.loadAdapter(replica, reserved);
    this._events.schedule(this._events.nowMs + durationMs, () => {
      this._log.append({ kind: 'adapterReady', order });
      onLoaded();
    });
    return true;
  }

  private _answer(request: Wake): WakeAnswer {
    const { settings, urgency, remainingMs } = request;
    const { nowMs } = this._events;
    if (this._queue.has(settings)) {
      return this._answerQueued(request, this._loadTimes.expectedMs(settings));
    }
    const placement = decisions.placeReplica(this._view(settings), { settings, urgency, remainingMs, replicas: 1 });
    if (placement.kind === 'refuse') {
      return { kind: 'refused', type: placement.type };
    }
    if (placement.kind === 'served') {
      const readyInMs = placement.state === 'ready' ? 0 : this._remainingLoadMs(settings, placement.replica);
      return answerWithin(readyInMs, remainingMs * estimateTolerance);
    }
    if ((this._refusedUntilMs.get(settings.model) ?? -Infinity) > nowMs) {
      return { kind: 'refused', type: 'model_no_room' };
    }
    const loadMs = placement.kind === 'evict' ? this._loadTimes.expectedMs(settings) + 500 : placement.expectedMs;
    return this._answerQueued(request, loadMs);
  }

  /** Queues the load or updates its queue entry, and estimates when the model is ready. */
  private _answerQueued(request: Wake, loadMs: number): WakeAnswer {
    const { settings, urgency, remainingMs, waiting } = request;
    const { nowMs } = this._events;
    const queued = this._queue.has(settings);
    const waitMs = this._bucket.waitMs(this._queue.position(settings, nowMs), nowMs);
    const answer = answerWithin(waitMs + loadMs, queued ? remainingMs * estimateTolerance : remainingMs);
    if (answer.kind === 'refused' && loadMs <= remainingMs) {
      return answer;
    }
    const keepMs = Math.max(remainingMs, waitMs + loadMs);
    const added = this._queue.add({ settings, urgency, replicas: 1, remainingMs: keepMs, waiting }, nowMs);
    return added ? answer : { kind: 'refused', type: 'queue_full' };
  }

  /** Processes the queue. A load that cannot start now does not block later entries. */
  private _processQueue(): void {
    const { nowMs } = this._events;
    this._queue.dropStale(nowMs);
    for (const entry of this._queue.ordered(nowMs)) {
      const { state } = this._log;
      if (decisions.loadsInProgress(state) >= state.limits.maximumConcurrentLoads) {
        break;
      }
      if (!this._awaitsEviction(entry) && !this._tryLoad(entry)) {
        break;
      }
    }
    if (this._queue.size > 0 && !this._retryScheduled) {
      this._retryScheduled = true;
      this._events.schedule(nowMs + retryIntervalMs, () => {
        this._retryScheduled = false;
        this._processQueue();
      });
    }
  }

  private _tryLoad(entry: decisions.LoadQueueEntry): boolean {
    const { settings, urgency, replicas } = entry;
    const { nowMs } = this._events;
    const remainingMs = entry.deadlineMs - nowMs;
    const placement = decisions.placeReplica(this._view(settings), { settings, urgency, replicas, remainingMs });
    switch (placement.kind) {
      case 'served':
      case 'refuse':
        this._queue.remove(settings);
        this._removeReservation(settings);
        return true;
      case 'wait':
        if (nowMs - entry.enqueuedMs > (placement.waitLimitMs ?? Infinity)) {
          this._queue.remove(settings);
          this._refusedUntilMs.set(settings.model, nowMs + refusalMs);
        }
        return true;
      case 'evict':
        this._reservations.set(placement.target, { model: settings.model, untilMs: nowMs + reservationMs });
        for (const victim of placement.victims) {
          this._unload(victim, placement.reason);
        }
        return true;
      case 'load':
        if (!this._bucket.take(nowMs)) {
          return false;
        }
        this._load(entry, placement);
        return true;
    }
  }

  private _load(entry: decisions.LoadQueueEntry, placement: Extract<decisions.Placement, { kind: 'load' }>): void {
    const { settings, urgency } = entry;
    const { partner, model, version } = settings;
    const { target, bytes, ordinal, reason, expectedMs } = placement;
    const names = { kind: 'loadDecided', cell, claim: this._log.claim, partner, model, version } as const;
    const id = this._log.order({ ...names, target, bytes, ordinal, urgency, reason });
    const replica = id === undefined ? undefined : this._log.state.replicas.get(id);
    if (id === undefined || replica === undefined) {
      this._bucket.returnToken();
      return;
    }
    this._queue.remove(settings);
    this._removeReservation(settings);
    this._queue.charge(partner, expectedMs, decisions.shareOf(this._log.state, partner));
    this._measures.recordLoad(reason);
    this._loadingSinceMs.set(id, this._events.nowMs);
    const durationMs = this._engines.load(replica, decisions.sumBytes(settings.weightBytes), this._events.nowMs);
    this._events.schedule(this._events.nowMs + durationMs, () => {
      this._completeLoad(replica, settings, durationMs);
    });
  }

  private _completeLoad(replica: decisions.ReplicaEntry, settings: decisions.ModelSettings, durationMs: number): void {
    this._log.append({ kind: 'replicaReady', replica: replica.replica });
    this._loadingSinceMs.delete(replica.replica);
    this._readySinceMs.set(replica.replica, this._events.nowMs);
    this._bucket.observe(this._loadTimes.expectedMs(settings, replica.target), durationMs);
    this._loadTimes.record(replica, replica.target, durationMs);
    this._measures.recordReady(replica, this._events.nowMs);
    this._onReady(replica);
    this._processQueue();
  }

  private _unload(id: decisions.ReplicaId, reason: decisions.DecisionReason): void {
    const replica = this._log.state.replicas.get(id);
    const body = { kind: 'unloadDecided', cell, claim: this._log.claim, replica: id, reason } as const;
    if (replica === undefined || this._log.order(body) === undefined) {
      return;
    }
    this._measures.recordUnload(reason);
    this._events.schedule(this._events.nowMs + unloadMs, () => {
      this._engines.unload(id);
      this._log.append({ kind: 'replicaUnloaded', replica: id });
      this._readySinceMs.delete(id);
      this._measures.recordUnloaded(replica, this._events.nowMs);
      this._processQueue();
    });
  }

  private _unloadAdapter(replica: decisions.ReplicaId, adapter: string): void {
    const bytes = this._log.state.replicas.get(replica)?.adapters.get(adapter)?.bytes ?? [];
    const body = { kind: 'adapterUnloadDecided', cell, claim: this._log.claim, replica, adapter } as const;
    if (this._log.order(body) !== undefined) {
      this._engines.unloadAdapter(replica, bytes);
      this._log.append({ kind: 'adapterUnloaded', replica, adapter });
    }
  }

  private _view(reservedFor?: decisions.ModelSettings): decisions.PlacementView {
    const { nowMs } = this._events;
    const cachedUsage = new Map<decisions.ModelVersion, decisions.ModelUsage>();
    return {
      state: this._log.state,
      policy: this._policy,
      usageOf: (model) => {
        // Upkeep queries the same settings several times, and usage does not change within one view.
        const usage = cachedUsage.get(model) ?? this.usage.usageOf(model, nowMs);
        cachedUsage.set(model, usage);
        return usage;
      },
      expectedLoadMs: (settings, target) => this._loadTimes.expectedMs(settings, target),
      readySinceMs: (replica) => this._readySinceMs.get(replica) ?? 0,
      blockedTargets: this._blockedTargets(reservedFor),
      leavingVms: new Set(),
      evictAfterMs: usageGraceMs,
      nowMs,
    };
  }

  private _blockedTargets(reservedFor: decisions.ModelSettings | undefined): ReadonlySet<string> {
    const blocked = new Set<string>();
    for (const [target, reservation] of this._reservations) {
      if (reservation.untilMs < this._events.nowMs) {
        this._reservations.delete(target);
      } else if (reservation.model !== reservedFor?.model) {
        blocked.add(target);
      }
    }
    return blocked;
  }

  /** Whether an eviction for this load is in progress; placing the load again would evict more replicas. */
  private _awaitsEviction(entry: decisions.LoadQueueEntry): boolean {
    const target = this._reservedTarget(entry.settings);
    return (
      target !== undefined &&
      [...this._log.state.replicas.values()].some(
        (replica) => replica.target === target && replica.state === 'unloading',
      )
    );
  }

  private _reservedTarget(settings: decisions.ModelSettings): string | undefined {
    return [...this._reservations].find(([, reservation]) => reservation.model === settings.model)?.[0];
  }

  private _removeReservation(settings: decisions.ModelSettings): void {
    const target = this._reservedTarget(settings);
    if (target !== undefined) {
      this._reservations.delete(target);
    }
  }

  private _remainingLoadMs(settings: decisions.ModelSettings, replica: decisions.ReplicaId): number {
    const target = this._log.state.replicas.get(replica)?.target;
    const elapsedMs = this._events.nowMs - (this._loadingSinceMs.get(replica) ?? this._events.nowMs);
    return Math.max(this._loadTimes.expectedMs(settings, target) - elapsedMs, elapsedMs / 10, 10);
  }

  /** Records the usage that a daemon reports each second. */
  public report(lines: readonly decisions.UsageLine[]): void {
    this.usage.record(incarnation, lines, this._events.nowMs);
  }
}

function answerWithin(readyInMs: number, remainingMs: number): WakeAnswer {
  return readyInMs <= remainingMs ? { kind: 'expected', readyInMs } : { kind: 'refused', type: 'model_cold_no_time' };
}
