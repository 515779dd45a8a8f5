import type { WaitingRequest, WaitingRequests } from './WaitingRequests.js';

/** Interval at which the decision to wait is checked again, milliseconds. */
const waitCheckMs = 100;

/** The wait of one request for a replica that holds its model, or for a permit of a replica with a rate limit. */
export class RequestWait {
  private _request: WaitingRequest | undefined;
  private _timer: NodeJS.Timeout | undefined;
  private _sinceMs: number | undefined;
  private _totalMs = 0;

  public constructor(private readonly _waitingRequests: WaitingRequests) {}

  /** Time waited so far, milliseconds. */
  public waitedMs(nowMs: number): number {
    return this._totalMs + (this._sinceMs === undefined ? 0 : nowMs - this._sinceMs);
  }

  /** Starts waiting; false if the request is already waiting. `check` is called at intervals until the wait ends. */
  public start(createRequest: () => WaitingRequest, check: () => void, nowMs: number): boolean {
    if (this._request !== undefined) {
      return false;
    }
    this._sinceMs = nowMs;
    this._request = createRequest();
    this._waitingRequests.add(this._request);
    this._timer = setInterval(check, waitCheckMs);
    return true;
  }

  public stop(nowMs: number): void {
    clearInterval(this._timer);
    if (this._request !== undefined) {
      this._waitingRequests.remove(this._request);
      this._request = undefined;
    }
    this._totalMs = this.waitedMs(nowMs);
    this._sinceMs = undefined;
  }
}
