import { isRequestPart } from '../crashes/parts.js';
import { decideTrial } from '../crashes/decideTrial.js';
import type { Candidate } from '../routing/chooseReplica.js';
import { decideAdmission } from '../routing/decideAdmission.js';
import { eligibleReplicas } from '../routing/eligibleReplicas.js';
import { selectReplica, shortestBackoffMs } from '../routing/selectReplica.js';
import type { Instant, ModelReference, Replica, Route } from '../Types.js';
import { decidePermitWait } from '../waiting/decidePermitWait.js';
import { decideHold } from '../waiting/decideHold.js';
import { decideReturn, firstEventReserveMs, type ReturnWindow } from '../waiting/decideReturn.js';
import { decideWait, type WaitDecision, type WaitingSituation } from '../waiting/decideWait.js';
import type { ReturnCapacity } from '../waiting/PromisedReturns.js';
import { callerTimeoutMs } from './retryPolicy.js';
import type { WaitReason } from '../waiting/WaitingMetrics.js';
import { stopRefusal } from './stopRefusal.js';
import type { ExchangeContext } from './Types.js';

/** Retry-After once replicas have refused or could not be reached, milliseconds. */
export const refusedRetryAfterMs = 500;

const blockedReasons = {
  parts: 'parts of the prompt end the replicas that answer them',
  request: 'the request ends the replicas that answer it',
} as const;

/** The state of a request on which a dispatch decision is based. */
export interface DispatchInput {
  readonly service: string;
  readonly route: Route;
  readonly modelReference: ModelReference | undefined;
  readonly promptPartIds: readonly string[];
  /** Parts of the prompt, and the part that stands for the whole request, that can make a replica end. */
  readonly suspectableParts: readonly string[];
  /** Replicas at which an attempt of the request has just failed. */
  readonly excluded: ReadonlySet<string>;
  /** True once a replica may have run the request. It is then not refused for lack of capacity or time. */
  readonly mayHaveRun: boolean;
  readonly waitedMs: number;
  /** Urgency of the request; 0 is the most urgent. */
  readonly urgency: number;
  /** Tenant of the caller, if it has one. */
  readonly tenantName: string | undefined;
  /** True if this tenant sends more than its share. */
  readonly exceedsShare: boolean;
  /** Time at which the request misses its latency target, steady milliseconds. */
  readonly lateAtMs: number;
  /** Time until the deadline of the request, milliseconds. */
  readonly timeLeftMs: number;
  /** Software version that began the stream with which the request goes on; undefined if it begins anew. */
  readonly requiredVersion: string | undefined;
  /** Time until the caller disconnects if it has received no byte, milliseconds. */
  readonly firstByteTimeLeftMs: number;
}

/** The services of the daemon that a dispatch decision uses. */
export interface DispatchContext extends Pick<
  ExchangeContext,
  | 'loads'
  | 'failureDomain'
  | 'random'
  | 'hasIdleConnection'
  | 'readyInMs'
  | 'awaitsFirstLeader'
  | 'returnSpreadMs'
  | 'longestRequestMs'
> {
  readonly crashGuard: Pick<ExchangeContext['crashGuard'], 'check' | 'hasGrant'>;
  readonly directory: Pick<ExchangeContext['directory'], 'usable'>;
  readonly rateLimits: Pick<ExchangeContext['rateLimits'], 'maySend' | 'expectedWaitMs'>;
  readonly streams: Pick<ExchangeContext['streams'], 'mayBegin'>;
  readonly waitingRequests: Pick<ExchangeContext['waitingRequests'], 'countAhead' | 'isHeldFor'>;
}

/** Times between which a refused caller returns, and the capacity that it returns to. */
export interface ReturnPromise {
  readonly window: ReturnWindow;
  readonly capacity: ReturnCapacity;
}

/** Decision on a request. */
export type DispatchDecision =
  | {
      readonly kind: 'send';
      readonly replica: Replica;
      /** Replica with a rate limit that would have been preferred, if this daemon had a permit for it. */
      readonly preferredReplicaId?: string;
      /** Suspected parts of the prompt, if the request is sent as their trial. */
      readonly trialParts?: readonly string[];
    }
  | {
      readonly kind: 'wait';
      /** Replica with a rate limit that the request needs a permit for; absent if it waits for its model. */
      readonly limitedReplicaId?: string;
      /** Full replicas for which the request is held, named by their service and model. */
      readonly heldFor?: string;
      /** Suspected parts of the prompt, if the request waits for a trial of them. */
      readonly trialParts?: readonly string[];
    }
  | {
      readonly kind: 'refuse';
      readonly reason: string;
      /** Absent if a retry cannot be served either. */
      readonly retryAfterMs?: number;
      /** Estimate of the leader on which the refusal is based, milliseconds. */
      readonly readyInMs?: number;
      /** Times between which the caller returns, and the capacity that it returns to. Absent if the time is exact. */
      readonly promise?: ReturnPromise;
      /** Parts of the prompt for which the request is refused. */
      readonly blockedParts?: readonly string[];
    };

/** The decision that a request waits. */
export type WaitDispatch = Extract<DispatchDecision, { kind: 'wait' }>;

/** What a request waits for, for the log and the metrics. */
export function waitReason({ limitedReplicaId, heldFor, trialParts }: WaitDispatch): WaitReason {
  if (trialParts !== undefined) {
    return 'trial';
  }
  if (limitedReplicaId !== undefined) {
    return 'permit';
  }
  return heldFor === undefined ? 'model' : 'slot';
}

/** A replica with a rate limit that a request could wait for. */
interface PermitWaitOption {
  readonly replicaId: string;
  /** Expected time until the request gets a permit, milliseconds; undefined until the leader has answered. */
  readonly waitMs: number | undefined;
  /** Mean run time on the replica, milliseconds. */
  readonly runMs: number;
}

/**
 * Decides whether a request is sent, waits for its model, for a permit or for a trial, or is refused. It is refused as
 * soon as it is known that it cannot be served in time; the refusal contains the time after which a retry can be served.
 */
export function decideDispatch(input: DispatchInput, context: DispatchContext, now: Instant): DispatchDecision {
  if (!input.mayHaveRun && input.timeLeftMs > context.longestRequestMs(now.steadyMs)) {
    const { reason, retryAfterMs } = stopRefusal;
    return { kind: 'refuse', reason, retryAfterMs };
  }
  const verdict = context.crashGuard.check(input.suspectableParts, now.steadyMs);
  if (verdict.kind === 'blocked') {
    const reason = blockedReasons[verdict.parts.some(isRequestPart) ? 'request' : 'parts'];
    return { kind: 'refuse', reason, retryAfterMs: verdict.leftMs, blockedParts: verdict.parts };
  }
  const decision = decideByCapacity(input, context, now);
  if (verdict.kind === 'free' || decision.kind !== 'send') {
    return decision;
  }
  const trial = decideTrial(input, context.crashGuard.hasGrant(verdict.parts, now.steadyMs));
  if (trial.kind === 'refuse') {
    return { ...trial, blockedParts: verdict.parts };
  }
  return trial.kind === 'send'
    ? { ...decision, trialParts: verdict.parts }
    : { kind: 'wait', trialParts: verdict.parts };
}

/** Decides by the replicas that hold the model, their load and their rate limits. */
function decideByCapacity(input: DispatchInput, context: DispatchContext, now: Instant): DispatchDecision {
  const { directory, loads, failureDomain } = context;
  const usable = eligibleReplicas(directory.usable(input.service), input, context.streams);
  if (input.requiredVersion !== undefined && !mayServeSoon(usable, input)) {
    return { kind: 'refuse', reason: 'no replica of the version that began the stream can serve it in time' };
  }
  const selection = {
    service: input.service,
    usable,
    modelReference: input.modelReference,
    promptPartIds: input.promptPartIds,
    excluded: input.excluded,
    failureDomain,
    hasConnection: ({ address }: Replica) => input.route.kind !== 'nonIdempotent' && context.hasIdleConnection(address),
    random: () => context.random(),
  };
  const { candidate, shortestQueue, withoutPermit, preferredWithoutPermit } = selectReplica(selection, context, now);
  const option = shortestPermitWait(withoutPermit, input, context, now);
  if (candidate !== undefined) {
    const decision = decideWithReplica(input, context, candidate, option, preferredWithoutPermit?.id);
    return decision.kind === 'send' || shortestQueue === undefined
      ? decision
      : decideWithReplica(input, context, shortestQueue, option, preferredWithoutPermit?.id);
  }
  return option === undefined
    ? decideWithoutReplica(input, context, shortestBackoffMs(selection, loads, now.steadyMs))
    : decideWaitForPermit(input, context, option);
}

/** Longest time that a stream which has begun waits for its model at a replica of its version, milliseconds. */
const longestVersionWaitMs = 6_000;

/** True if one of the replicas holds the model of a stream that has begun, or can load it from its own copy. */
function mayServeSoon(replicas: readonly Replica[], { modelReference, waitedMs }: DispatchInput): boolean {
  const model = modelReference?.model;
  const hasCopy = ({ models, inMemory, onDisk }: Replica): boolean =>
    model === undefined ||
    models.some(({ name }) => name === model) ||
    inMemory.includes(model) ||
    onDisk.includes(model);
  return waitedMs < longestVersionWaitMs && replicas.some(hasCopy);
}

/** The replica whose next permit for the request is expected first. */
function shortestPermitWait(
  candidates: readonly Candidate[],
  input: DispatchInput,
  context: DispatchContext,
  now: Instant,
): PermitWaitOption | undefined {
  const options = candidates.map(({ replica: { id }, runMs }) => {
    const position = context.waitingRequests.countAhead(id, input);
    return { replicaId: id, waitMs: context.rateLimits.expectedWaitMs(id, input.urgency, position, now), runMs };
  });
  return options.sort((first, second) => (first.waitMs ?? 0) - (second.waitMs ?? 0))[0];
}

/**
 * Sends the request unless it would wait in the replica's queue until its caller disconnects. Then it waits for a permit
 * of another replica, if it gets one in time. A stream that has begun is sent in any case: it has no other replica to go to.
 */
function decideWithReplica(
  input: DispatchInput,
  context: DispatchContext,
  candidate: Candidate,
  option: PermitWaitOption | undefined,
  preferredReplicaId: string | undefined,
): DispatchDecision {
  const { modelReference, mayHaveRun, requiredVersion, firstByteTimeLeftMs } = input;
  const admission =
    modelReference === undefined || mayHaveRun || requiredVersion !== undefined
      ? { kind: 'send' as const }
      : decideAdmission({ candidate, firstByteTimeLeftMs });
  if (admission.kind === 'send') {
    const hold = holdWhileFull(input, context, candidate);
    if (hold !== undefined) {
      return hold;
    }
    return {
      kind: 'send',
      replica: candidate.replica,
      ...(preferredReplicaId !== undefined && { preferredReplicaId }),
    };
  }
  const permitDecision = option === undefined ? undefined : decideWaitForPermit(input, context, option);
  if (permitDecision?.kind === 'wait') {
    return permitDecision;
  }
  const { retryAfterMs } = admission;
  const reason = 'the queue of every replica is too long';
  return { kind: 'refuse', reason, retryAfterMs, promise: promiseOfQueue(candidate, input, retryAfterMs) };
}

/**
 * Waits for a permit, or for another copy of the model that is being loaded, if either comes in time; else refuses the
 * request with the time at which it can be served.
 */
function decideWaitForPermit(
  input: DispatchInput,
  context: DispatchContext,
  { replicaId, waitMs, runMs }: PermitWaitOption,
): DispatchDecision {
  const { timeLeftMs, modelReference } = input;
  const otherCopyInMs = modelReference === undefined ? undefined : context.readyInMs(modelReference.model);
  const readyInMs = otherCopyInMs === undefined || waitMs === undefined ? waitMs : Math.min(waitMs, otherCopyInMs);
  const estimate = readyInMs !== undefined && { readyInMs };
  const decision = decidePermitWait({ ...waitingSituation(input, context), timeLeftMs, runMs, ...estimate });
  return decision.kind === 'wait' ? { kind: 'wait', limitedReplicaId: replicaId } : { ...decision, ...estimate };
}

/** `availableInMs` is the time until a replica that holds the model accepts requests again. */
function decideWithoutReplica(
  input: DispatchInput,
  context: DispatchContext,
  availableInMs: number | undefined,
): DispatchDecision {
  const { modelReference } = input;
  if (modelReference === undefined) {
    const mayAppear = availableInMs === undefined && context.awaitsFirstLeader();
    if (mayAppear && decideWait(waitingSituation(input, context)).kind === 'wait') {
      return { kind: 'wait' };
    }
    const reason =
      availableInMs === undefined ? 'no replica of the service is known' : 'all replicas turn requests away';
    return { kind: 'refuse', reason, retryAfterMs: availableInMs ?? refusedRetryAfterMs };
  }
  const readyInMs = availableInMs ?? context.readyInMs(modelReference.model);
  const estimate = readyInMs !== undefined && { readyInMs };
  const decision = decideWait({ ...waitingSituation(input, context), ...estimate });
  return decision.kind === 'wait'
    ? decision
    : { ...decision, ...estimate, ...promiseOf(decision, input, modelReference, context) };
}

function waitingSituation(input: DispatchInput, context: DispatchContext): Omit<WaitingSituation, 'readyInMs'> {
  const { waitedMs, timeLeftMs, route, mayHaveRun } = input;
  const { latencyTargetMs } = route;
  // The caller of a stream that has begun has its first byte: it waits for the next one.
  const begunTimeLeftMs = mayHaveRun ? latencyTargetMs + firstEventReserveMs : 0;
  const firstByteTimeLeftMs = Math.max(input.firstByteTimeLeftMs, begunTimeLeftMs);
  return {
    waitedMs,
    firstByteTimeLeftMs,
    timeLeftMs,
    latencyTargetMs,
    callerTimeoutMs: callerTimeoutMs(route),
    awaitsFirstLeader: context.awaitsFirstLeader(),
  };
}

/** Holds or refuses a request of a tenant that exceeds its share while all replicas are full; else undefined. */
function holdWhileFull(
  input: DispatchInput,
  context: DispatchContext,
  candidate: Candidate,
): DispatchDecision | undefined {
  const { route, service, modelReference, exceedsShare, firstByteTimeLeftMs } = input;
  if (!exceedsShare || input.mayHaveRun || input.requiredVersion !== undefined) {
    return undefined;
  }
  const { running, runMs, replica } = candidate;
  const heldFor = `${service} ${modelReference?.model ?? ''}`;
  const decision = decideHold({
    exceedsShare,
    othersAreHeld: context.waitingRequests.isHeldFor(heldFor),
    running,
    slots: replica.slots,
    firstByteAfterMs: route.kind === 'stream' ? 0 : runMs,
    firstByteTimeLeftMs,
  });
  if (decision !== 'refuse') {
    return decision === 'hold' ? { kind: 'wait', heldFor } : undefined;
  }
  const reason = 'the tenant exceeds its share of full replicas';
  return { kind: 'refuse', reason, retryAfterMs: runMs, promise: promiseOfQueue(candidate, input, runMs) };
}

/**
 * The capacity that a caller returns to when the queue of a replica has become shorter. The returns are spread over the time
 * in which the queue shrinks from the longest one that is allowed, so that they do not meet the same queue again.
 */
function promiseOfQueue(
  { replica, runMs }: Candidate,
  { route, timeLeftMs }: DispatchInput,
  readyInMs: number,
): ReturnPromise {
  // A caller that returns before is refused again, however long it waits.
  const window = decideReturn({ readyInMs, timeLeftMs, callerTimeoutMs: firstEventReserveMs });
  const spacingMs = runMs / Math.max(replica.slots, 1);
  const spreadMs = window.lastMs - window.firstMs;
  const times = { callerTimeoutMs: callerTimeoutMs(route), latencyTargetMs: route.latencyTargetMs };
  return { window, capacity: { key: `queue ${replica.id}`, spacingMs, spreadMs, ...times } };
}

/** The capacity that a caller returns to when its model is ready. */
function promiseOf(
  { returnWindow: window }: Extract<WaitDecision, { kind: 'refuse' }>,
  { route }: DispatchInput,
  modelReference: ModelReference,
  context: DispatchContext,
): Pick<Extract<DispatchDecision, { kind: 'refuse' }>, 'promise'> {
  if (window === undefined) {
    return {};
  }
  const capacity = {
    key: modelReference.model,
    spacingMs: 0,
    spreadMs: context.returnSpreadMs(modelReference.model),
    modelReference,
    callerTimeoutMs: callerTimeoutMs(route),
    latencyTargetMs: route.latencyTargetMs,
  };
  return { promise: { window, capacity } };
}
