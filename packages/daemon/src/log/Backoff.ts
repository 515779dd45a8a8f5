import * as cockatiel from 'cockatiel';

const firstDelayMs = 50;
const longestDelayMs = 1000;

/** Growing, jittered delays between tries; a success starts over. */
export class Backoff {
  private readonly _factory = new cockatiel.ExponentialBackoff({
    initialDelay: firstDelayMs,
    maxDelay: longestDelayMs,
  });
  private _current: cockatiel.IBackoff<unknown> | undefined;

  /** Delay before the next try, milliseconds. */
  public nextMs(): number {
    this._current = (this._current ?? this._factory).next(undefined);
    return Math.ceil(this._current.duration);
  }

  public reset(): void {
    this._current = undefined;
  }
}
