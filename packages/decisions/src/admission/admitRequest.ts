/**
 * Admission to the waiting room, which is limited by count and deadline, is shared fairly between partners, and sheds
 * batch requests before interactive ones.
 */
import type * as common from '@jayhaven/common';
import type { AdmissionDecision, WaitingRequest, WaitingRoomLimits, WaitingRoomView } from './Types.js';

/** Retry-After for a full queue if no ready time is known. */
const fullQueueRetryMs = 2_000;

/**
 * Decides whether an arriving request may wait. `expectedReadyMs` is the monotonic time at which a replica is expected
 * to be ready, if known.
 */
export function admitRequest(
  request: WaitingRequest,
  view: WaitingRoomView,
  limits: WaitingRoomLimits,
  expectedReadyMs: number | undefined,
  nowMs: number,
): AdmissionDecision {
  const readyInMs = expectedReadyMs === undefined ? undefined : Math.max(0, expectedReadyMs - nowMs);
  if (missesDeadline(request, expectedReadyMs, nowMs)) {
    return { kind: 'refused', type: 'deadline_unreachable', retryAfterMs: readyInMs ?? fullQueueRetryMs };
  }
  const queueFull = view.queue.length >= limits.queueLimit;
  const roomFull = !hasRoom(request.partner, view, limits);
  if (!queueFull && !roomFull) {
    return { kind: 'admitted' };
  }
  const requestToShed = request.urgency === 'interactive' ? findRequestToShed(view, queueFull) : undefined;
  return requestToShed
    ? { kind: 'admittedInstead', shed: requestToShed }
    : {
        kind: 'refused',
        type: queueFull ? 'queue_full' : 'partner_queue_full',
        retryAfterMs: readyInMs ?? fullQueueRetryMs,
      };
}

/** Whether a request can no longer be answered in time if a replica is ready only at `expectedReadyMs`. */
export function missesDeadline(
  request: Pick<WaitingRequest, 'deadlineMs'>,
  expectedReadyMs: number | undefined,
  nowMs: number,
): boolean {
  return request.deadlineMs <= nowMs || (expectedReadyMs !== undefined && expectedReadyMs >= request.deadlineMs);
}

/**
 * Whether the waiting room has a free place for a partner. Half of the places are reserved in equal shares, so that one
 * partner cannot take all of them.
 */
function hasRoom(partner: common.PartnerName, view: WaitingRoomView, limits: WaitingRoomLimits): boolean {
  const reserved = Math.floor(limits.maximumWaiting / (2 * Math.max(1, limits.partners.length)));
  const own = view.byPartner.get(partner) ?? 0;
  if (own < reserved) {
    return view.total < limits.maximumWaiting;
  }
  let reservedForOthers = 0;
  for (const other of limits.partners) {
    if (other !== partner) {
      reservedForOthers += Math.max(0, reserved - (view.byPartner.get(other) ?? 0));
    }
  }
  return view.total + reservedForOthers < limits.maximumWaiting;
}

/** A full queue sheds one of its own batch requests; a full room sheds one of the same partner. */
function findRequestToShed(view: WaitingRoomView, queueFull: boolean): WaitingRequest | undefined {
  return queueFull ? view.queue.findLast((waiting) => waiting.urgency === 'batch') : view.newestBatchOfPartner;
}

/** Order in which waiting requests are released: interactive before batch, then by arrival. */
export function compareForRelease(first: WaitingRequest, second: WaitingRequest): number {
  if (first.urgency !== second.urgency) {
    return first.urgency === 'interactive' ? -1 : 1;
  }
  return first.arrivedMs - second.arrivedMs;
}
