import type { Route } from '../Types.js';
import { mayRetry, inactivityTimeoutMs } from './sendAgain.js';

/** Notices a replica that stays silent, where the request may run elsewhere. */
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

  /** The replica was heard. */
  public refresh(): void {
    this._timer?.refresh();
  }

  public stop(): void {
    clearTimeout(this._timer);
    this._timer = undefined;
  }
}
