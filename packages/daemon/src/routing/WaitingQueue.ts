import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { WakeRequest } from '../Types.js';
import type { CallerError, ResolvedModel, WaitingRequest } from './Types.js';

/** A wake that was sent to the owner. */
export interface SentWake {
  readonly sentMs: number;
  readonly urgency: common.Urgency;
  readonly deadlineMs: number;
}

/** Requests that wait for one model version and adapter, in the order of arrival. */
export class WaitingQueue {
  /** Monotonic time at which the owner expects a replica to be ready. */
  public expectedReadyMs: number | undefined;
  /** The wake that the owner has not responded to yet. */
  public outstandingWake: SentWake | undefined;
  /** When the last wake was sent, monotonic milliseconds. */
  public lastSentMs = -Infinity;
  /** Time since which no owner has responded, monotonic milliseconds. */
  public ownerlessSinceMs: number | undefined;
  private _requests: WaitingRequest[] = [];

  public constructor(public readonly model: ResolvedModel) {}

  public get requests(): readonly WaitingRequest[] {
    return this._requests;
  }

  public add(waitingRequest: WaitingRequest): void {
    this._requests.push(waitingRequest);
  }

  /** Removes one request. Returns false if it is no longer in the queue. */
  public remove(request: string): boolean {
    const index = this._requests.findIndex((waitingRequest) => waitingRequest.request === request);
    if (index < 0) {
      return false;
    }
    this._requests.splice(index, 1);
    return true;
  }

  /** Removes and returns all requests, interactive ones first. */
  public takeAll(): WaitingRequest[] {
    const requests = this._requests.sort(decisions.compareForRelease);
    this._requests = [];
    return requests;
  }

  /** Refuses and returns the requests that match. */
  public refuse(shouldRefuse: (waitingRequest: WaitingRequest) => boolean, error: CallerError): WaitingRequest[] {
    const refusedRequests = this._requests.filter(shouldRefuse);
    this._requests = this._requests.filter((waitingRequest) => !refusedRequests.includes(waitingRequest));
    for (const waitingRequest of refusedRequests) {
      waitingRequest.settle({ kind: 'refused', error });
    }
    return refusedRequests;
  }

  /** Creates the wake for all requests, with the highest urgency and the longest remaining time. */
  public createWake(nowMs: number): { readonly request: WakeRequest; readonly sentWake: SentWake } {
    const { partner, model, version } = this.model.settings;
    const adapter = this.model.adapter;
    const urgency = this._requests.some((waitingRequest) => waitingRequest.urgency === 'interactive')
      ? 'interactive'
      : 'batch';
    const deadlineMs = this._requests.reduce(
      (latest, waitingRequest) => Math.max(latest, waitingRequest.deadlineMs),
      nowMs,
    );
    const request = {
      partner,
      model,
      version,
      ...(adapter === undefined ? {} : { adapter }),
      urgency,
      remainingMs: Math.max(0, Math.round(deadlineMs - nowMs)),
      waiting: this._requests.length,
    } as const;
    return { request, sentWake: { sentMs: nowMs, urgency, deadlineMs } };
  }
}

/** Whether a refusal of the wake applies to the request: its urgency is not higher and its deadline is not later. */
export function isCoveredBy(request: decisions.WaitingRequest, wake: SentWake): boolean {
  return request.deadlineMs <= wake.deadlineMs && (wake.urgency === 'interactive' || request.urgency === 'batch');
}
