import type { Candidate } from '../routing/chooseReplica.js';
import { decideAdmission } from '../routing/decideAdmission.js';
import { selectReplica, shortestBackoffMs } from '../routing/selectReplica.js';
import type { ModelReference, Replica, Route } from '../Types.js';
import { decideWait } from '../waiting/decideWait.js';
import type { ExchangeContext } from './Types.js';

/** Retry-After once replicas have refused or could not be reached, milliseconds. */
export const refusedRetryAfterMs = 500;
/** Retry-After while this daemon is stopping, milliseconds. The retry goes to another daemon. */
const stoppingRetryAfterMs = 50;

/** The state of a request on which a dispatch decision is based. */
export interface DispatchInput {
  readonly service: string;
  readonly route: Route;
  readonly modelReference: ModelReference | undefined;
  readonly promptPartIds: readonly string[];
  /** Replicas at which an attempt of the request has just failed. */
  readonly excluded: ReadonlySet<string>;
  /** True once a replica may have run the request. It is then not refused for lack of capacity or time. */
  readonly mayHaveRun: boolean;
  readonly waitedMs: number;
  /** Time until the deadline of the request, milliseconds. */
  readonly timeLeftMs: number;
  /** Time until the caller disconnects if it has received no byte, milliseconds. */
  readonly firstByteTimeLeftMs: number;
}

/** The services of the daemon that a dispatch decision uses. */
export interface DispatchContext extends Pick<
  ExchangeContext,
  'loads' | 'failureDomain' | 'randomSlots' | 'readyInMs' | 'longestRequestMs'
> {
  readonly directory: Pick<ExchangeContext['directory'], 'usable'>;
}

/** Decision on a request. `readyInMs` is the leader's estimate on which a refusal is based. */
export type DispatchDecision =
  | { readonly kind: 'send'; readonly replica: Replica }
  | { readonly kind: 'wait'; readonly modelReference: ModelReference }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number; readonly readyInMs?: number };

/**
 * Decides whether a request is sent, waits for its model, or is refused. It is refused as soon as it is known that it
 * cannot be served in time; the refusal contains the time after which a retry can be served.
 */
export function decideDispatch(input: DispatchInput, context: DispatchContext, nowMs: number): DispatchDecision {
  if (!input.mayHaveRun && input.timeLeftMs > context.longestRequestMs(nowMs)) {
    return { kind: 'refuse', reason: 'this daemon stops', retryAfterMs: stoppingRetryAfterMs };
  }
  const { directory, loads, failureDomain } = context;
  const selection = {
    usable: directory.usable(input.service),
    modelReference: input.modelReference,
    promptPartIds: input.promptPartIds,
    excluded: input.excluded,
    failureDomain,
    randomSlots: () => context.randomSlots(),
  };
  const candidate = selectReplica(selection, loads, nowMs);
  return candidate === undefined
    ? decideWithoutReplica(input, context, shortestBackoffMs(selection, loads, nowMs))
    : decideWithReplica(input, candidate);
}

/** Sends the request unless it would wait in the replica's queue until its caller disconnects. */
function decideWithReplica(
  { modelReference, mayHaveRun, firstByteTimeLeftMs }: DispatchInput,
  candidate: Candidate,
): DispatchDecision {
  const admission =
    modelReference === undefined || mayHaveRun
      ? { kind: 'send' as const }
      : decideAdmission({ candidate, firstByteTimeLeftMs });
  return admission.kind === 'send'
    ? { kind: 'send', replica: candidate.replica }
    : { kind: 'refuse', reason: 'the queue of every replica is too long', retryAfterMs: admission.retryAfterMs };
}

/** `availableInMs` is the time until a replica that holds the model accepts requests again. */
function decideWithoutReplica(
  { modelReference, route, waitedMs, firstByteTimeLeftMs }: DispatchInput,
  context: DispatchContext,
  availableInMs: number | undefined,
): DispatchDecision {
  if (modelReference === undefined) {
    const reason =
      availableInMs === undefined ? 'no replica of the service is known' : 'all replicas turn requests away';
    return { kind: 'refuse', reason, retryAfterMs: availableInMs ?? refusedRetryAfterMs };
  }
  const readyInMs = availableInMs ?? context.readyInMs(modelReference.model);
  const estimate = readyInMs !== undefined && { readyInMs };
  const { latencyTargetMs } = route;
  const decision = decideWait({ waitedMs, firstByteTimeLeftMs, latencyTargetMs, ...estimate });
  return decision.kind === 'wait' ? { kind: 'wait', modelReference } : { ...decision, ...estimate };
}
