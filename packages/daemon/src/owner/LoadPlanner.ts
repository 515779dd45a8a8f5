import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { EngineClient } from './EngineClient.js';
import { OwnershipTerm } from './OwnershipTerm.js';
import type { OwnerServices } from './OwnerServices.js';

/** Decides the loads in the queue and the unloads that make room for them. */
export class LoadPlanner {
  public constructor(
    private readonly _services: OwnerServices,
    /** Called when a decision has taken effect or has been rejected. */
    private readonly _onDecided: () => void,
  ) {}

  /** Decides the queued loads in order. A load that cannot start now does not block those behind it. */
  public decideLoads(term: OwnershipTerm, nowMs: number): void {
    term.queue.dropStale(nowMs);
    for (const entry of term.queue.ordered(nowMs)) {
      if (!this._hasLoadSlot(term, entry.urgency)) {
        return;
      }
      if (term.isBlocked(entry.settings, this._services.control.log.state, nowMs)) {
        continue;
      }
      if (term.pendingLoads.has(OwnershipTerm.modelKey(entry.settings)) || this._awaitsEvictions(term, entry)) {
        continue;
      }
      if (!this._decideLoad(term, entry, nowMs)) {
        return;
      }
    }
  }

  /** Decides the unload of one replica. */
  public decideUnload(term: OwnershipTerm, replica: decisions.ReplicaId, reason: decisions.DecisionReason): void {
    if (term.pendingUnloads.has(replica)) {
      return;
    }
    term.pendingUnloads.add(replica);
    const { control, context } = this._services;
    const cell = context.settings.daemon.cell;
    const body = { kind: 'unloadDecided', cell, claim: term.claim, replica, reason } as const;
    const entry = control.log.state.replicas.get(replica);
    void control.log.append(body, context.settings.platform.logTimeoutMs).then((outcome) => {
      term.pendingUnloads.delete(replica);
      context.timeline.record({
        part: 'owner',
        event: outcome.ok ? 'unloadDecided' : 'unloadNotDecided',
        ...(entry === undefined ? {} : { model: EngineClient.modelName(entry) }),
        replica,
        detail: { rule: reason.rule, ...reason.figures },
      });
      this._onDecided();
    });
  }

  /** Whether a load may start. Batch loads leave one slot free, so that an urgent load does not wait for a long one. */
  private _hasLoadSlot(term: OwnershipTerm, urgency: common.Urgency): boolean {
    const { state } = this._services.control.log;
    const { maximumConcurrentLoads } = state.limits;
    const inProgress = decisions.loadsInProgress(state) + term.pendingLoads.size;
    const reservedSlots = urgency === 'batch' && maximumConcurrentLoads > 1 ? 1 : 0;
    return inProgress < maximumConcurrentLoads - reservedSlots;
  }

  /** Whether evictions for the load are in progress. Placing it again before they end would evict further replicas. */
  private _awaitsEvictions(term: OwnershipTerm, entry: decisions.LoadQueueEntry): boolean {
    const target = term.reservedTarget(entry.settings);
    if (target === undefined) {
      return false;
    }
    const { replicas } = this._services.control.log.state;
    return [...replicas.values()].some(
      (replica) =>
        replica.target === target && (replica.state === 'unloading' || term.pendingUnloads.has(replica.replica)),
    );
  }

  /** Decides one queued load. Returns false if no further load may start now. */
  private _decideLoad(term: OwnershipTerm, entry: decisions.LoadQueueEntry, nowMs: number): boolean {
    const { settings, urgency, replicas } = entry;
    const remainingMs = entry.deadlineMs - nowMs;
    const view = term.view(nowMs, OwnershipTerm.modelKey(settings));
    const placement = decisions.placeReplica(view, { settings, urgency, replicas, remainingMs });
    switch (placement.kind) {
      case 'served':
      case 'refuse':
        term.queue.remove(settings);
        term.releaseReservation(settings);
        return true;
      case 'wait':
        term.recordBlocked(settings, view.state, nowMs);
        if (nowMs - entry.enqueuedMs > (placement.waitLimitMs ?? Infinity)) {
          term.queue.remove(settings);
          term.recordRefusal(settings, nowMs);
        }
        return true;
      case 'evict':
        term.reserve(placement.target, settings, nowMs);
        for (const victim of placement.victims) {
          this.decideUnload(term, victim, placement.reason);
        }
        return true;
      case 'load':
        if (!term.loadTokens.take(nowMs)) {
          return false;
        }
        this._appendLoad(term, entry, placement);
        return true;
    }
  }

  private _appendLoad(
    term: OwnershipTerm,
    entry: decisions.LoadQueueEntry,
    placement: Extract<decisions.Placement, { kind: 'load' }>,
  ): void {
    const { control, context } = this._services;
    const { settings, urgency } = entry;
    const { partner, model, version } = settings;
    const { target, bytes, ordinal } = placement;
    const reason = withCause(placement.reason, entry);
    const key = OwnershipTerm.modelKey(settings);
    term.pendingLoads.set(key, target);
    const cell = context.settings.daemon.cell;
    const commonFields = { kind: 'loadDecided', cell, claim: term.claim, partner, model, version } as const;
    const body: decisions.LoadDecided = { ...commonFields, target, bytes, ordinal, urgency, reason };
    void control.log.append(body, context.settings.platform.logTimeoutMs).then((outcome) => {
      term.pendingLoads.delete(key);
      if (outcome.ok) {
        term.queue.remove(settings);
        term.releaseReservation(settings);
        const share = decisions.shareOf(control.log.state, partner);
        term.queue.charge(partner, placement.expectedMs, share);
      } else {
        term.loadTokens.returnToken();
      }
      context.timeline.record({
        part: 'owner',
        event: outcome.ok ? 'loadDecided' : 'loadNotDecided',
        model: EngineClient.modelName(settings),
        ...(outcome.ok ? { replica: outcome.value.offset, offset: outcome.value.offset } : {}),
        detail: { target, ordinal, rule: reason.rule, ...reason.figures, ...failureDetail(outcome) },
      });
      this._onDecided();
    });
  }
}

function withCause(reason: decisions.DecisionReason, entry: decisions.LoadQueueEntry): decisions.DecisionReason {
  const { cause, waiting } = entry;
  const causeFigures = cause === undefined ? { cause: 'wake', waiting } : { ...cause.figures, cause: cause.rule };
  return { rule: reason.rule, figures: { ...causeFigures, ...reason.figures } };
}

function failureDetail(outcome: {
  readonly ok: boolean;
  readonly failure?: { readonly kind: string; readonly message: string };
}): Record<string, string> {
  return outcome.failure === undefined ? {} : { failure: outcome.failure.kind, message: outcome.failure.message };
}
