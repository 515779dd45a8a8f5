import type { Route } from '../Types.js';
import { mayRetry, inactivityTimeoutMs } from './retryPolicy.js';

/** Detects an unresponsive replica if the request may be retried at another one. */
export class InactivityTimer {
  private _timer: NodeJS.Timeout | undefined;

  public constructor(private readonly _onInactive: () => void) {}

  /** Starts anew. `runs` counts the replicas that may have run the request before. */
  public start(route: Route | undefined, runs: number, headSent: boolean): void {
    this.stop();
    if (route !== undefined && mayRetry(route, runs + 1, headSent)) {
      this._timer = setTimeout(this._onInactive, inactivityTimeoutMs(route, headSent));
    }
  }

  /** Restarts the timeout on progress of the response; has no effect while the timer is stopped. */
  public refresh(): void {
    this._timer?.refresh();
  }

  public stop(): void {
    clearTimeout(this._timer);
    this._timer = undefined;
  }
}
