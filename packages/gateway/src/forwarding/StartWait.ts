import * as common from '@jayhaven/common';

/** Share of a caller's deadline that its request waits for the tables of a daemon that has just started. */
const deadlineShare = 1 / 3;
/** Longest such wait, milliseconds. Callers leave after 2 s without a first event; a refused one can come back. */
const longestWaitMs = 1_500;

/** Time for which a request waits for the tables, milliseconds; 0 if its deadline is not known. */
export function startWaitMs(deadlineMs: number | undefined): number {
  return Math.min((deadlineMs ?? 0) * deadlineShare, longestWaitMs);
}

/**
 * Requests that arrive before a daemon has read the configuration and the replicas from the store. After a loss of power
 * all daemons start at once, and callers would be refused everywhere although they have the time to wait.
 */
export class StartWait {
  private readonly _onReady = new common.Emitter<undefined>();
  private _isReady = false;

  /** True once the tables have been read. */
  public get isReady(): boolean {
    return this._isReady;
  }

  /** Ends all waits. */
  public setReady(): void {
    if (!this._isReady) {
      this._isReady = true;
      this._onReady.fire(undefined);
    }
  }

  /** Calls `onEnd` once the tables have been read or the limit is over, milliseconds. Returns a function to stop. */
  public wait(limitMs: number, onEnd: () => void): () => void {
    const stop = (): void => {
      clearTimeout(timer);
      unsubscribe();
    };
    const end = (): void => {
      stop();
      onEnd();
    };
    const timer = setTimeout(end, limitMs);
    const unsubscribe = this._onReady.event(end);
    return stop;
  }
}
