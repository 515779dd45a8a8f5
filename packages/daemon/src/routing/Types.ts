import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** A refusal or failure as reported to the caller. */
export interface CallerError {
  readonly status: number;
  readonly type: string;
  readonly message: string;
  readonly executed: common.Executed;
  readonly retryAfterMs?: number;
}

/** The model named by a request, with its current settings. */
export interface ResolvedModel {
  readonly settings: decisions.ModelSettings;
  readonly adapter: string | undefined;
  /** Model name used by the engine: `partner/model` or `partner/model:adapter`. */
  readonly engineName: string;
  /** Key of the waiting queue: model version and adapter. */
  readonly queue: string;
}

/** A target chosen for one attempt, which counts as in flight there until `finish` is called. */
export interface TargetLease {
  readonly target: common.TargetAddress;
  readonly replica: decisions.ReplicaId;
  readonly vm: common.VmName;
  /** Ends the attempt. `failed` counts against the target's circuit breaker. */
  finish(result: 'answered' | 'failed' | 'neutral', nowMs: number): void;
}

/** How an attempt at an engine ended. */
export type AttemptEnd =
  /** The complete response was received. */
  | { readonly kind: 'complete'; readonly body?: string }
  /** The engine did not run the request; another target may. */
  | { readonly kind: 'notRun'; readonly type: 'model_not_loaded' | 'overloaded'; readonly retryAfterMs: number }
  /** The engine rejected the request as invalid. */
  | { readonly kind: 'rejected'; readonly status: number; readonly message: string }
  | { readonly kind: 'failed'; readonly reason: string }
  /** The engine responded with a server error. The request may cause it, so it is no failure of the target. */
  | { readonly kind: 'serverError'; readonly reason: string }
  /** A keep-alive connection was closed as the request was written, which does not indicate a failure of the target. */
  | { readonly kind: 'staleConnection' }
  | { readonly kind: 'cancelled' };

/** Outcome of a wait in the waiting room. */
export type WaitOutcome = { readonly kind: 'released' } | { readonly kind: 'refused'; readonly error: CallerError };

/** A request in the waiting room. */
export interface WaitingRequest extends decisions.WaitingRequest {
  readonly model: ResolvedModel;
  /** Called once, with the outcome of the wait. */
  readonly settle: (outcome: WaitOutcome) => void;
}
