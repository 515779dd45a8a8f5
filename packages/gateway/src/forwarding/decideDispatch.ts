import type { Candidate } from '../routing/chooseReplica.js';
import { decideAdmission } from '../routing/decideAdmission.js';
import { selectReplica, shortestBackoffMs } from '../routing/selectReplica.js';
import type { ModelReference, Replica, Route } from '../Types.js';
import { decideWait } from '../waiting/decideWait.js';
import type { ExchangeContext } from './Types.js';

/** Time to come back after replicas refused or could not be reached, milliseconds. */
export const refusedRetryAfterMs = 500;
/** Time to come back to another daemon while this one stops, milliseconds. */
const stoppingRetryAfterMs = 50;

/** What is known of a request that is to be sent. */
export interface DispatchSituation {
  readonly service: string;
  readonly route: Route;
  readonly target: ModelReference | undefined;
  readonly promptParts: readonly string[];
  /** Replicas that have just failed the request. */
  readonly excluded: ReadonlySet<string>;
  /** True once a replica may have run the request: it is not refused then for want of room or time. */
  readonly mayHaveRun: boolean;
  readonly waitedMs: number;
  /** Time until the request ends, milliseconds. */
  readonly timeLeftMs: number;
  /** Time until the caller leaves if it has no first byte, milliseconds. */
  readonly patienceMs: number;
}

/** What a daemon uses to decide on a request. */
export interface DispatchContext extends Pick<
  ExchangeContext,
  'loads' | 'failureDomain' | 'randomSlots' | 'readyInMs' | 'longestRequestMs'
> {
  readonly directory: Pick<ExchangeContext['directory'], 'usable'>;
}

/** What is done with a request now. `readyInMs` is the estimate of the leader that a refusal rests on. */
export type DispatchDecision =
  | { readonly kind: 'send'; readonly replica: Replica }
  | { readonly kind: 'wait'; readonly target: ModelReference }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number; readonly readyInMs?: number };

/**
 * Decides whether a request is sent, waits for its model, or is refused. A refusal comes as soon as it is known that the
 * request cannot be served, with the time at which it can.
 */
export function decideDispatch(
  situation: DispatchSituation,
  context: DispatchContext,
  nowMs: number,
): DispatchDecision {
  if (!situation.mayHaveRun && situation.timeLeftMs > context.longestRequestMs(nowMs)) {
    return { kind: 'refuse', reason: 'this daemon stops', retryAfterMs: stoppingRetryAfterMs };
  }
  const { directory, loads, failureDomain } = context;
  const selection = {
    usable: directory.usable(situation.service),
    modelReference: situation.target,
    promptParts: situation.promptParts,
    excluded: situation.excluded,
    failureDomain,
    randomSlots: () => context.randomSlots(),
  };
  const candidate = selectReplica(selection, loads, nowMs);
  return candidate === undefined
    ? withoutReplica(situation, context, shortestBackoffMs(selection, loads, nowMs))
    : withReplica(situation, candidate);
}

/** A request is sent, unless it would wait in the replica's queue until its caller leaves. */
function withReplica({ target, mayHaveRun, patienceMs }: DispatchSituation, candidate: Candidate): DispatchDecision {
  const admission =
    target === undefined || mayHaveRun
      ? { kind: 'send' as const }
      : decideAdmission({ candidate, firstByteTimeLeftMs: patienceMs });
  return admission.kind === 'send'
    ? { kind: 'send', replica: candidate.replica }
    : { kind: 'refuse', reason: 'the queue of every replica is too long', retryAfterMs: admission.retryAfterMs };
}

/** `freeInMs` is the time until a replica that holds the model takes requests again. */
function withoutReplica(
  { target, route, waitedMs, patienceMs }: DispatchSituation,
  context: DispatchContext,
  freeInMs: number | undefined,
): DispatchDecision {
  if (target === undefined) {
    const reason = freeInMs === undefined ? 'no replica of the service is known' : 'all replicas turn requests away';
    return { kind: 'refuse', reason, retryAfterMs: freeInMs ?? refusedRetryAfterMs };
  }
  const readyInMs = freeInMs ?? context.readyInMs(target.model);
  const estimate = readyInMs !== undefined && { readyInMs };
  const { latencyTargetMs } = route;
  const decision = decideWait({ waitedMs, firstByteTimeLeftMs: patienceMs, latencyTargetMs, ...estimate });
  return decision.kind === 'wait' ? { kind: 'wait', target } : { ...decision, ...estimate };
}
