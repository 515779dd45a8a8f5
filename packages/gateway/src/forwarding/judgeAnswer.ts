import type { ResponseHead } from '../contracts/RequestCodec.js';
import type { Route } from '../Types.js';
import { isRepeatable } from './retryPolicy.js';

/** Statuses that promise a caller that its request has not run and will not run. */
const promisingStatuses: readonly number[] = [408, 421, 429, 503];

/** True if the replica states that it has not executed the request. Nothing else shows that. */
export function statesNotExecuted(head: ResponseHead): boolean {
  return (head.notExecuted && head.status !== 400) || head.fromOtherReplica;
}

/**
 * Returns why an answer must not reach the caller; undefined if it may. A status that promises more than the replica has
 * stated is harmless only where the caller may repeat the request anyway.
 */
export function unstatedPromise(head: ResponseHead, route: Route | undefined): string | undefined {
  const isPromise = promisingStatuses.includes(head.status) && !statesNotExecuted(head);
  return isPromise && (route === undefined || !isRepeatable(route))
    ? `replica answered ${head.status} and did not state that the request has not run`
    : undefined;
}
