import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { OwnershipTerm } from './OwnershipTerm.js';
import type { OwnerServices } from './OwnerServices.js';

/** A request that is not renewed within this time is dropped. */
const requestLifetimeMs = 5_000;
/** Maximum number of adapters that wait for a decision. */
const maximumRequests = 2_000;

interface AdapterLoadRequest {
  readonly settings: decisions.ModelSettings;
  readonly adapter: decisions.AdapterSettings;
  readonly urgency: common.Urgency;
  readonly refreshedMs: number;
}

/** Decides loads and unloads of adapters on ready replicas. */
export class AdapterPlanner {
  private readonly _requests = new Map<string, AdapterLoadRequest>();
  private readonly _pending = new Set<string>();

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _onDecided: () => void,
  ) {}

  /** Whether a decision is being appended to the log. */
  public get hasPendingDecisions(): boolean {
    return this._pending.size > 0;
  }

  /** Requests an adapter; its base model is requested separately. Returns false if too many adapters wait. */
  public requestLoad(
    settings: decisions.ModelSettings,
    adapter: decisions.AdapterSettings,
    urgency: common.Urgency,
    nowMs: number,
  ): boolean {
    const key = adapterKey(settings, adapter.adapter);
    if (!this._requests.has(key) && this._requests.size >= maximumRequests) {
      return false;
    }
    this._requests.set(key, { settings, adapter, urgency, refreshedMs: nowMs });
    return true;
  }

  /** Drops all requests, at the start of a term. */
  public clear(): void {
    this._requests.clear();
  }

  /** Decides the adapter loads that can start now, interactive ones first. */
  public decide(term: OwnershipTerm, nowMs: number): void {
    const requests = [...this._requests].sort(
      ([, first], [, second]) => Number(first.urgency === 'batch') - Number(second.urgency === 'batch'),
    );
    for (const [key, request] of requests) {
      if (nowMs - request.refreshedMs > requestLifetimeMs) {
        this._requests.delete(key);
      } else if (!this._pending.has(key)) {
        this._decideLoad(term, key, request, nowMs);
      }
    }
  }

  /** Unloads one adapter. */
  public decideUnload(term: OwnershipTerm, replica: decisions.ReplicaId, adapter: string): void {
    const cell = this._services.context.settings.daemon.cell;
    const body = { kind: 'adapterUnloadDecided', cell, claim: term.claim, replica, adapter } as const;
    this._append(`unload ${replica} ${adapter}`, body, 'adapterUnloadDecided');
  }

  private _decideLoad(term: OwnershipTerm, key: string, request: AdapterLoadRequest, nowMs: number): void {
    const { state } = this._services.control.log;
    const view = term.view(nowMs);
    const placement = decisions.placeAdapter(view, request.settings, request.adapter.adapter, request.adapter.bytes);
    if (placement.kind === 'served' || placement.kind === 'noRoom') {
      this._requests.delete(key);
    } else if (placement.kind === 'evict') {
      for (const adapter of placement.adapters) {
        this.decideUnload(term, placement.replica, adapter);
      }
    } else if (placement.kind === 'load' && this._hasTransitSlot(state)) {
      const { replica, bytes } = placement;
      const cell = this._services.context.settings.daemon.cell;
      const { adapter } = request.adapter;
      const commonFields = { kind: 'adapterLoadDecided', cell, claim: term.claim } as const;
      this._append(key, { ...commonFields, replica, adapter, bytes }, 'adapterLoadDecided');
    }
  }

  private _hasTransitSlot(state: decisions.ControlState): boolean {
    return decisions.adaptersInTransit(state) + this._pending.size < state.limits.maximumAdaptersInTransit;
  }

  private _append(
    key: string,
    body: decisions.AdapterLoadDecided | decisions.AdapterUnloadDecided,
    event: string,
  ): void {
    if (this._pending.has(key)) {
      return;
    }
    this._pending.add(key);
    const { control, context } = this._services;
    void control.log.append(body, context.settings.platform.logTimeoutMs).then((outcome) => {
      this._pending.delete(key);
      if (outcome.ok) {
        const detail = { adapter: body.adapter };
        context.timeline.record({ part: 'owner', event, replica: body.replica, offset: outcome.value.offset, detail });
      }
      this._onDecided();
    });
  }
}

function adapterKey(model: decisions.ModelVersion, adapter: string): string {
  return `${model.partner}/${model.model}@${model.version}:${adapter}`;
}
