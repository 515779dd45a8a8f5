import { leaderlessLifetimeMs } from './permitRates.js';

/**
 * Permits that a daemon issues to itself while it hears no leader: one at a time, spaced by its share of the limit from
 * a random start. They expire soon after, so that daemons do not save them up and use them all at the same time.
 */
export class LeaderlessPermits {
  /** Time of the oldest permit that is neither used nor expired, by the key of the limit, steady milliseconds. */
  private readonly _nextMs = new Map<string, number>();

  public constructor(
    private readonly _random: () => number,
    /** Time for which a permit is valid, milliseconds. */
    private readonly _lifetimeMs = leaderlessLifetimeMs,
  ) {}

  /** Forgets all permits, once a leader is heard. */
  public clear(): void {
    this._nextMs.clear();
  }

  /** Time until the next permit for a limit, milliseconds; 0 if there is one. `spacingMs` separates two permits. */
  public nextInMs(key: string, spacingMs: number, nowMs: number): number {
    const nextMs = this._nextMs.get(key) ?? nowMs + this._random() * spacingMs;
    const expired = Math.max(Math.ceil((nowMs - this._lifetimeMs - nextMs) / spacingMs), 0);
    const validMs = nextMs + expired * spacingMs;
    this._nextMs.set(key, validMs);
    return Math.max(validMs - nowMs, 0);
  }

  /** Uses a permit; false if there is none. */
  public tryTake(key: string, spacingMs: number, nowMs: number): boolean {
    if (this.nextInMs(key, spacingMs, nowMs) > 0) {
      return false;
    }
    this._nextMs.set(key, (this._nextMs.get(key) ?? nowMs) + spacingMs);
    return true;
  }
}
