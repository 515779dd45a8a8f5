import * as timers from 'node:timers/promises';
import type { CallerRequest } from './Types.js';

/** Polling interval while waiting for the last request, milliseconds. */
const checkIntervalMs = 20;
/** Time without requests before connections are closed, milliseconds: one may be in transit on an idle connection. */
const idleMs = 250;

/** Requests of callers that are not finished. */
export class InFlightRequests {
  private readonly _requests = new Set<CallerRequest>();
  private _lastEndedMs = -Infinity;

  public get size(): number {
    return this._requests.size;
  }

  public get requests(): readonly CallerRequest[] {
    return [...this._requests];
  }

  /** Ids of at most `maximum` unfinished requests, for the log. */
  public ids(maximum: number): string[] {
    return [...this._requests].slice(0, maximum).map(({ requestId }) => requestId);
  }

  public add(request: CallerRequest): void {
    this._requests.add(request);
  }

  public remove(request: CallerRequest, nowMs: number): void {
    this._requests.delete(request);
    this._lastEndedMs = nowMs;
  }

  /** Waits until no request has been in flight for `idleMs`, at the latest until the monotonic time `limitMs`. */
  public async waitUntilIdle(now: () => number, limitMs: number): Promise<void> {
    while (now() < limitMs && (this._requests.size > 0 || now() - this._lastEndedMs < idleMs)) {
      await timers.setTimeout(checkIntervalMs);
    }
  }
}
