import type { CallerRequest } from '../../contracts/RequestCodec.js';
import type { Route, Tenant } from '../../Types.js';
import type { LocalResponse } from '../admitRequest.js';

/** A request whose route is known, as the admission steps see it. */
export interface StepRequest {
  readonly callerRequest: CallerRequest;
  readonly route: Route;
  readonly service: string;
  /** Tenant of the caller's key; undefined before the key is checked and where no key is needed. */
  readonly tenant: Tenant | undefined;
  /** Time until the deadline of the request, milliseconds. */
  timeLeftMs(nowMs: number): number;
  /** Runs the step again that the request waits for. */
  recheck(): void;
}

/** Decision of a step on a request. */
export type StepDecision =
  /** The request goes on to the next step. A step that finds the tenant of the request adds it. */
  | { readonly kind: 'pass'; readonly tenant?: Tenant }
  /** The request waits until the step calls `recheck`, or until the request ends. */
  | { readonly kind: 'wait' }
  | { readonly kind: 'reject'; readonly response: LocalResponse };
