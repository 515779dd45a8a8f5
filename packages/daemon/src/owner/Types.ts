import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** A model in an engine's index. */
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
  /** The engine refused the order because it has a newer fencing token. */
  | { readonly kind: 'superseded'; readonly message: string }
  /** The engine refused the order for another reason. */
  | { readonly kind: 'refused'; readonly message: string }
  /** No byte reached the engine. */
  | { readonly kind: 'notDelivered'; readonly message: string }
  /** The order may have reached the engine, or may still do so. */
  | { readonly kind: 'unknown'; readonly message: string };

/** A finished load, from which load times are estimated. */
export interface FinishedLoad {
  readonly replica: decisions.ReplicaEntry;
  readonly durationMs: number;
}

/** A failed load; its target gets no load for a while. */
export interface FailedLoad {
  readonly target: common.TargetAddress;
  readonly model: string;
  readonly reason: string;
}
