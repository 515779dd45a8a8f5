import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { WakeRequest } from '../Types.js';
import type { CallerError, ResolvedModel, Waiter } from './Types.js';

/** A wake that was asked for. */
export interface AskedWake {
  readonly askedMs: number;
  readonly urgency: common.Urgency;
  readonly deadlineMs: number;
}

/** Requests that wait for one model version and adapter, in the order of arrival. */
export class WaitingQueue {
  /** Monotonic time at which the owner expects a replica. */
  public expectedReadyMs: number | undefined;
  /** The outstanding wake. */
  public asked: AskedWake | undefined;
  /** When the last wake was sent, monotonic milliseconds. */
  public lastAskedMs = -Infinity;
  /** Since when no owner has answered, monotonic milliseconds. */
  public ownerlessSinceMs: number | undefined;
  private _waiters: Waiter[] = [];

  public constructor(public readonly model: ResolvedModel) {}

  public get waiters(): readonly Waiter[] {
    return this._waiters;
  }

  public add(waiter: Waiter): void {
    this._waiters.push(waiter);
  }

  /** Takes out one waiter; false if it is not here any more. */
  public remove(request: string): boolean {
    const index = this._waiters.findIndex((waiter) => waiter.request === request);
    if (index < 0) {
      return false;
    }
    this._waiters.splice(index, 1);
    return true;
  }

  /** Takes out all waiters, interactive ones first. */
  public takeAll(): Waiter[] {
    const taken = this._waiters.sort(decisions.compareForRelease);
    this._waiters = [];
    return taken;
  }

  /** Refuses the waiters that match. Returns how many. */
  public refuse(matches: (waiter: Waiter) => boolean, error: CallerError): Waiter[] {
    const refused = this._waiters.filter(matches);
    this._waiters = this._waiters.filter((waiter) => !refused.includes(waiter));
    for (const waiter of refused) {
      waiter.settle({ kind: 'refused', error });
    }
    return refused;
  }

  /** The wake that covers all waiters: the highest urgency and the longest remaining time. */
  public wakeRequest(nowMs: number): { readonly request: WakeRequest; readonly asked: AskedWake } {
    const { partner, model, version } = this.model.settings;
    const adapter = this.model.adapter;
    const urgency = this._waiters.some((waiter) => waiter.urgency === 'interactive') ? 'interactive' : 'batch';
    const deadlineMs = this._waiters.reduce((latest, waiter) => Math.max(latest, waiter.deadlineMs), nowMs);
    const request = {
      partner,
      model,
      version,
      ...(adapter === undefined ? {} : { adapter }),
      urgency,
      remainingMs: Math.max(0, Math.round(deadlineMs - nowMs)),
      waiting: this._waiters.length,
    } as const;
    return { request, asked: { askedMs: nowMs, urgency, deadlineMs } };
  }
}

/** Whether a refusal of the wake also answers the waiter: it is not more urgent and not more patient. */
export function isCoveredBy(waiter: decisions.WaitingRequest, asked: AskedWake): boolean {
  return waiter.deadlineMs <= asked.deadlineMs && (asked.urgency === 'interactive' || waiter.urgency === 'batch');
}
