import type { Waiter, WaitingRoom } from './WaitingRoom.js';

/** Pause between two looks at whether a request should go on waiting, milliseconds. */
const waitCheckMs = 100;

/** The wait of one request for a replica that holds its model. */
export class ModelWait {
  private _waiter: Waiter | undefined;
  private _timer: NodeJS.Timeout | undefined;
  private _sinceMs: number | undefined;
  private _totalMs = 0;

  public constructor(private readonly _room: WaitingRoom) {}

  /** Time waited so far, milliseconds. */
  public waitedMs(nowMs: number): number {
    return this._totalMs + (this._sinceMs === undefined ? 0 : nowMs - this._sinceMs);
  }

  /** Starts waiting; false if the request waits already. `check` is called at intervals until the wait ends. */
  public start(makeWaiter: () => Waiter, check: () => void, nowMs: number): boolean {
    if (this._waiter !== undefined) {
      return false;
    }
    this._sinceMs = nowMs;
    this._waiter = makeWaiter();
    this._room.add(this._waiter);
    this._timer = setInterval(check, waitCheckMs);
    return true;
  }

  public stop(nowMs: number): void {
    clearInterval(this._timer);
    if (this._waiter !== undefined) {
      this._room.remove(this._waiter);
      this._waiter = undefined;
    }
    this._totalMs = this.waitedMs(nowMs);
    this._sinceMs = undefined;
  }
}
