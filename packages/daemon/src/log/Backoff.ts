import * as cockatiel from 'cockatiel';

const firstDelayMs = 50;
const longestDelayMs = 1000;

/** Exponential backoff with jitter between attempts; `reset` starts over after a success. */
export class Backoff {
  private readonly _factory = new cockatiel.ExponentialBackoff({
    initialDelay: firstDelayMs,
    maxDelay: longestDelayMs,
  });
  private _current: cockatiel.IBackoff<unknown> | undefined;

  /** Delay before the next attempt, milliseconds. */
  public nextMs(): number {
    this._current = (this._current ?? this._factory).next(undefined);
    return Math.ceil(this._current.duration);
  }

  public reset(): void {
    this._current = undefined;
  }
}
