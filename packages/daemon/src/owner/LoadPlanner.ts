import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { EngineClient } from './EngineClient.js';
import { Planning } from './Planning.js';
import type { OwnerServices } from './OwnerServices.js';

/** Decides the loads in the queue and the unloads that make room for them. */
export class LoadPlanner {
  public constructor(
    private readonly _services: OwnerServices,
    /** Called when a decision took effect or was rejected. */
    private readonly _decided: () => void,
  ) {}

  /** Goes through the queue. A load that cannot start now does not hold up those behind it. */
  public decideLoads(planning: Planning, nowMs: number): void {
    planning.queue.dropStale(nowMs);
    for (const entry of planning.queue.ordered(nowMs)) {
      if (!this._hasLoadSlot(planning, entry.urgency)) {
        return;
      }
      if (planning.isBlocked(entry.settings, this._services.control.log.state, nowMs)) {
        continue;
      }
      if (planning.pendingLoads.has(Planning.keyOf(entry.settings)) || this._awaitsRoom(planning, entry)) {
        continue;
      }
      if (!this._decide(planning, entry, nowMs)) {
        return;
      }
    }
  }

  /** Unloads one replica. */
  public decideUnload(planning: Planning, replica: decisions.ReplicaId, reason: decisions.DecisionReason): void {
    if (planning.pendingUnloads.has(replica)) {
      return;
    }
    planning.pendingUnloads.add(replica);
    const { control, context } = this._services;
    const cell = context.settings.daemon.cell;
    const body = { kind: 'unloadDecided', cell, claim: planning.claim, replica, reason } as const;
    const entry = control.log.state.replicas.get(replica);
    void control.log.append(body, context.settings.platform.logTimeoutMs).then((outcome) => {
      planning.pendingUnloads.delete(replica);
      context.timeline.record({
        part: 'owner',
        event: outcome.ok ? 'unloadDecided' : 'unloadNotDecided',
        ...(entry === undefined ? {} : { model: EngineClient.modelName(entry) }),
        replica,
        detail: { rule: reason.rule, ...reason.figures },
      });
      this._decided();
    });
  }

  /** Batch loads leave one slot free, so that an urgent load does not wait for a long one. */
  private _hasLoadSlot(planning: Planning, urgency: common.Urgency): boolean {
    const { state } = this._services.control.log;
    const { maximumConcurrentLoads } = state.limits;
    const inProgress = decisions.loadsInProgress(state) + planning.pendingLoads.size;
    const kept = urgency === 'batch' && maximumConcurrentLoads > 1 ? 1 : 0;
    return inProgress < maximumConcurrentLoads - kept;
  }

  /** Room is being made on a target: placing again would evict more. */
  private _awaitsRoom(planning: Planning, entry: decisions.LoadQueueEntry): boolean {
    const target = planning.reservedTarget(entry.settings);
    if (target === undefined) {
      return false;
    }
    const { replicas } = this._services.control.log.state;
    return [...replicas.values()].some(
      (replica) =>
        replica.target === target && (replica.state === 'unloading' || planning.pendingUnloads.has(replica.replica)),
    );
  }

  /** Returns false if no further load may start now. */
  private _decide(planning: Planning, entry: decisions.LoadQueueEntry, nowMs: number): boolean {
    const { settings, urgency, replicas } = entry;
    const remainingMs = entry.deadlineMs - nowMs;
    const view = planning.view(nowMs, Planning.keyOf(settings));
    const placement = decisions.placeReplica(view, { settings, urgency, replicas, remainingMs });
    switch (placement.kind) {
      case 'served':
      case 'refuse':
        planning.queue.remove(settings);
        planning.unreserve(settings);
        return true;
      case 'wait':
        planning.noteBlocked(settings, view.state, nowMs);
        if (nowMs - entry.enqueuedMs > (placement.waitLimitMs ?? Infinity)) {
          planning.queue.remove(settings);
          planning.noteRefused(settings, nowMs);
        }
        return true;
      case 'evict':
        planning.reserve(placement.target, settings, nowMs);
        for (const victim of placement.victims) {
          this.decideUnload(planning, victim, placement.reason);
        }
        return true;
      case 'load':
        if (!planning.bucket.take(nowMs)) {
          return false;
        }
        this._appendLoad(planning, entry, placement);
        return true;
    }
  }

  private _appendLoad(
    planning: Planning,
    entry: decisions.LoadQueueEntry,
    placement: Extract<decisions.Placement, { kind: 'load' }>,
  ): void {
    const { control, context } = this._services;
    const { settings, urgency } = entry;
    const { partner, model, version } = settings;
    const { target, bytes, ordinal } = placement;
    const reason = withCause(placement.reason, entry);
    const key = Planning.keyOf(settings);
    planning.pendingLoads.set(key, target);
    const cell = context.settings.daemon.cell;
    const names = { kind: 'loadDecided', cell, claim: planning.claim, partner, model, version } as const;
    const body: decisions.LoadDecided = { ...names, target, bytes, ordinal, urgency, reason };
    void control.log.append(body, context.settings.platform.logTimeoutMs).then((outcome) => {
      planning.pendingLoads.delete(key);
      if (outcome.ok) {
        planning.queue.remove(settings);
        planning.unreserve(settings);
        const share = decisions.shareOf(control.log.state, partner);
        planning.queue.charge(partner, placement.expectedMs, share);
      } else {
        planning.bucket.returnToken();
      }
      context.timeline.record({
        part: 'owner',
        event: outcome.ok ? 'loadDecided' : 'loadNotDecided',
        model: EngineClient.modelName(settings),
        ...(outcome.ok ? { replica: outcome.value.offset, offset: outcome.value.offset } : {}),
        detail: { target, ordinal, rule: reason.rule, ...reason.figures, ...failureDetail(outcome) },
      });
      this._decided();
    });
  }
}

function withCause(reason: decisions.DecisionReason, entry: decisions.LoadQueueEntry): decisions.DecisionReason {
  const { cause, waiting } = entry;
  const because = cause === undefined ? { cause: 'wake', waiting } : { ...cause.figures, cause: cause.rule };
  return { rule: reason.rule, figures: { ...because, ...reason.figures } };
}

function failureDetail(outcome: {
  readonly ok: boolean;
  readonly failure?: { readonly kind: string; readonly message: string };
}): Record<string, string> {
  return outcome.failure === undefined ? {} : { failure: outcome.failure.kind, message: outcome.failure.message };
}
