import type * as common from '@jayhaven/common';

/** Request in the waiting room, or one to be admitted to it. Times are monotonic milliseconds. */
export interface WaitingRequest {
  readonly request: string;
  readonly partner: common.PartnerName;
  /** Key of the model version and adapter that the request waits for. */
  readonly queue: string;
  readonly urgency: common.Urgency;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
}

/** Occupancy of the waiting room. */
export interface WaitingRoomView {
  readonly total: number;
  readonly byPartner: ReadonlyMap<common.PartnerName, number>;
  /** Requests in the same queue, oldest first. */
  readonly queue: readonly WaitingRequest[];
  /** Waiting batch request of the same partner that arrived last, over all queues. */
  readonly newestBatchOfPartner: WaitingRequest | undefined;
}

/** Limits of the waiting room. */
export interface WaitingRoomLimits {
  readonly maximumWaiting: number;
  readonly queueLimit: number;
  readonly partners: readonly common.PartnerName[];
}

/** Name of a refusal, as in `ErrorBody`. */
export type AdmissionRefusal = 'deadline_unreachable' | 'queue_full' | 'partner_queue_full';

/** Decision whether a request may wait. */
export type AdmissionDecision =
  | { readonly kind: 'admitted' }
  /** Admitted in place of a waiting batch request, which is refused. */
  | { readonly kind: 'admittedInstead'; readonly shed: WaitingRequest }
  | { readonly kind: 'refused'; readonly type: AdmissionRefusal; readonly retryAfterMs: number };
