import { leaderlessLifetimeMs } from './permitRates.js';

/**
 * Permits that a daemon issues to itself while it hears no leader: one at a time, spaced by its share of the limit from
 * a random start. They expire soon after, so that daemons do not save them up and use them all at the same time.
 */
export class LeaderlessPermits {
  /** Time of the oldest permit that is neither used nor expired, by replica, steady milliseconds. */
  private readonly _nextMs = new Map<string, number>();

  public constructor(private readonly _random: () => number) {}

  /** Forgets all permits, once a leader is heard. */
  public clear(): void {
    this._nextMs.clear();
  }

  /** Time until the next permit for a replica, milliseconds; 0 if there is one. `spacingMs` separates two permits. */
  public nextInMs(replicaId: string, spacingMs: number, nowMs: number): number {
    const nextMs = this._nextMs.get(replicaId) ?? nowMs + this._random() * spacingMs;
    const expired = Math.max(Math.ceil((nowMs - leaderlessLifetimeMs - nextMs) / spacingMs), 0);
    const validMs = nextMs + expired * spacingMs;
    this._nextMs.set(replicaId, validMs);
    return Math.max(validMs - nowMs, 0);
  }

  /** Uses a permit; false if there is none. */
  public tryTake(replicaId: string, spacingMs: number, nowMs: number): boolean {
    if (this.nextInMs(replicaId, spacingMs, nowMs) > 0) {
      return false;
    }
    this._nextMs.set(replicaId, (this._nextMs.get(replicaId) ?? nowMs) + spacingMs);
    return true;
  }
}
