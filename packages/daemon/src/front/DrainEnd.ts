import * as common from '@jayhaven/common';
import type { CallerError } from '../routing/Types.js';

/** Time before the stop limit at which the remaining requests get their final response, milliseconds. */
export const finalResponseMs = 100;
/** Retry delay sent to callers whose request a stop has ended, milliseconds. The retry goes to another daemon. */
const stoppingRetryMs = 50;

/** The time shortly before the end of the process. No request may wait beyond it without a response. */
export class DrainEnd {
  private readonly _onReached = new common.Emitter<undefined>();
  public readonly onReached = this._onReached.event;
  private _isReached = false;
  private _abortedCount = 0;

  public get isReached(): boolean {
    return this._isReached;
  }

  /** Number of requests that were ended although they may have been executed. */
  public get abortedCount(): number {
    return this._abortedCount;
  }

  /** Ends all requests whose response has not begun. */
  public reach(): void {
    this._isReached = true;
    this._onReached.fire(undefined);
  }

  /** The error of a request that ends now. */
  public error(executed: common.Executed): CallerError {
    this._abortedCount += executed === 'no' ? 0 : 1;
    const status = executed === 'no' ? 503 : 502;
    return { status, type: 'stopping', message: 'this daemon stops', executed, retryAfterMs: stoppingRetryMs };
  }
}
