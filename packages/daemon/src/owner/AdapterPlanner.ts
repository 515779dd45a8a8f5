import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { Planning } from './Planning.js';
import type { OwnerServices } from './OwnerServices.js';

/** A wish that nobody renewed within this time is dropped. */
const wishLifetimeMs = 5_000;
/** Adapters that may wait for a decision at a time. */
const maximumWishes = 2_000;

interface AdapterWish {
  readonly settings: decisions.ModelSettings;
  readonly adapter: decisions.AdapterSettings;
  readonly urgency: common.Urgency;
  readonly refreshedMs: number;
}

/** Decides loads and unloads of adapters on ready replicas. */
export class AdapterPlanner {
  private readonly _wishes = new Map<string, AdapterWish>();
  private readonly _pending = new Set<string>();

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _decided: () => void,
  ) {}

  /** Whether a decision is on its way to the log. */
  public get isDeciding(): boolean {
    return this._pending.size > 0;
  }

  /** Asks for an adapter; its base model is asked for separately. Returns false if too many wait. */
  public wish(
    settings: decisions.ModelSettings,
    adapter: decisions.AdapterSettings,
    urgency: common.Urgency,
    nowMs: number,
  ): boolean {
    const key = keyOf(settings, adapter.adapter);
    if (!this._wishes.has(key) && this._wishes.size >= maximumWishes) {
      return false;
    }
    this._wishes.set(key, { settings, adapter, urgency, refreshedMs: nowMs });
    return true;
  }

  /** Forgets all wishes, at the start of a term. */
  public clear(): void {
    this._wishes.clear();
  }

  /** Decides the adapters that can be loaded now, interactive ones first. */
  public decide(planning: Planning, nowMs: number): void {
    const wishes = [...this._wishes].sort(
      ([, first], [, second]) => Number(first.urgency === 'batch') - Number(second.urgency === 'batch'),
    );
    for (const [key, wish] of wishes) {
      if (nowMs - wish.refreshedMs > wishLifetimeMs) {
        this._wishes.delete(key);
      } else if (!this._pending.has(key)) {
        this._decideOne(planning, key, wish, nowMs);
      }
    }
  }

  /** Unloads one adapter. */
  public decideUnload(planning: Planning, replica: decisions.ReplicaId, adapter: string): void {
    const cell = this._services.context.settings.daemon.cell;
    const body = { kind: 'adapterUnloadDecided', cell, claim: planning.claim, replica, adapter } as const;
    this._append(`unload ${replica} ${adapter}`, body, 'adapterUnloadDecided');
  }

  private _decideOne(planning: Planning, key: string, wish: AdapterWish, nowMs: number): void {
    const { state } = this._services.control.log;
    const view = planning.view(nowMs);
    const placement = decisions.placeAdapter(view, wish.settings, wish.adapter.adapter, wish.adapter.bytes);
    if (placement.kind === 'served' || placement.kind === 'noRoom') {
      this._wishes.delete(key);
    } else if (placement.kind === 'evict') {
      for (const adapter of placement.adapters) {
        this.decideUnload(planning, placement.replica, adapter);
      }
    } else if (placement.kind === 'load' && this._hasTransitSlot(state)) {
      const { replica, bytes } = placement;
      const cell = this._services.context.settings.daemon.cell;
      const { adapter } = wish.adapter;
      const names = { kind: 'adapterLoadDecided', cell, claim: planning.claim } as const;
      this._append(key, { ...names, replica, adapter, bytes }, 'adapterLoadDecided');
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
      this._decided();
    });
  }
}

function keyOf(model: decisions.ModelVersion, adapter: string): string {
  return `${model.partner}/${model.model}@${model.version}:${adapter}`;
}
