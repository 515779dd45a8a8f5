import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** A refusal or failure as the caller sees it. */
export interface CallerError {
  readonly status: number;
  readonly type: string;
  readonly message: string;
  readonly executed: common.Executed;
  readonly retryAfterMs?: number;
}

/** The model a request names, with its settings in force. */
export interface ResolvedModel {
  readonly settings: decisions.ModelSettings;
  readonly adapter: string | undefined;
  /** Name at the engine: `partner/model` or `partner/model:adapter`. */
  readonly engineName: string;
  /** Key of the waiting queue: model version and adapter. */
  readonly queue: string;
}

/** A target that was picked for one attempt. Counts as in flight there until `finish`. */
export interface TargetLease {
  readonly target: common.TargetAddress;
  readonly replica: decisions.ReplicaId;
  readonly vm: common.VmName;
  /** Ends the attempt. `failed` counts against the target's circuit breaker. */
  finish(result: 'answered' | 'failed' | 'neutral', nowMs: number): void;
}

/** How an attempt at an engine ended. */
export type AttemptEnd =
  /** The whole answer was passed on. */
  | { readonly kind: 'complete'; readonly body?: string }
  /** The engine did not run it; another target may. */
  | { readonly kind: 'notRun'; readonly type: 'model_not_loaded' | 'overloaded'; readonly retryAfterMs: number }
  /** The engine finds the request invalid. */
  | { readonly kind: 'rejected'; readonly status: number; readonly message: string }
  | { readonly kind: 'failed'; readonly reason: string }
  /** The engine answered with a server error. A single request may cause that, so it does not count against it. */
  | { readonly kind: 'serverError'; readonly reason: string }
  /** A kept-alive connection was closed as the request was written, which says nothing about the target. */
  | { readonly kind: 'staleConnection' }
  | { readonly kind: 'cancelled' };

/** Answer of the waiting room. */
export type WaitOutcome = { readonly kind: 'released' } | { readonly kind: 'refused'; readonly error: CallerError };

/** A request in the waiting room. */
export interface WaitingRequest extends decisions.WaitingRequest {
  readonly model: ResolvedModel;
  /** Called once, with the final answer of the waiting room. */
  readonly settle: (outcome: WaitOutcome) => void;
}
