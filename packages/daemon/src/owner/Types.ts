import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** A model as an engine's index shows it. */
export interface EngineModel {
  /** `partner/model`. */
  readonly name: string;
  readonly version: string;
  readonly state: 'LOADING' | 'READY' | 'UNLOADING' | 'UNAVAILABLE';
  readonly adapters: readonly string[];
}

/** Answer of an engine to an order. */
export type OrderAnswer =
  | { readonly kind: 'accepted' }
  /** The engine checked the fencing token and has a newer one. */
  | { readonly kind: 'superseded'; readonly message: string }
  /** The engine refused the order for another reason. */
  | { readonly kind: 'refused'; readonly message: string }
  /** No byte reached the engine. */
  | { readonly kind: 'notDelivered'; readonly message: string }
  /** The order may have reached the engine, or may still do so. */
  | { readonly kind: 'unknown'; readonly message: string };

/** A finished load, for the estimates. */
export interface FinishedLoad {
  readonly replica: decisions.ReplicaEntry;
  readonly durationMs: number;
}

/** A failed load; the target is left out for a while. */
export interface FailedLoad {
  readonly target: common.TargetAddress;
  readonly model: string;
  readonly reason: string;
}
