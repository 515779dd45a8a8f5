import type { LoadsMessage } from './Types.js';

/** Largest number of replicas in one message, so that a daemon's traffic does not grow with the installation. */
const maximumReplicas = 64;

/** Difference of a count that was not sent yet, so that an idle replica's is sent after those that changed. */
const unsentDifference = 0.5;

/**
 * Chooses the replica loads to send to the followers: at intervals, those that changed most since they were last sent.
 * Without a bound, these counts are the larger part of the traffic between daemons.
 */
export class LoadThrottle {
  /** Counts that the followers know. That of an idle replica is sent once, as they may know another from a former leader. */
  private readonly _sentCounts = new Map<string, number>();
  private _lastSentMs = Number.NEGATIVE_INFINITY;

  /** All counts that were sent, for a daemon that has just connected. */
  public get sent(): LoadsMessage {
    return { running: Object.fromEntries(this._sentCounts) };
  }

  /** Forgets what was sent, when this daemon no longer leads. */
  public reset(): void {
    this._sentCounts.clear();
  }

  /** Returns the message to send now; undefined if none is due. `intervalMs` is in milliseconds. */
  public next(running: ReadonlyMap<string, number>, intervalMs: number, nowMs: number): LoadsMessage | undefined {
    if (nowMs - this._lastSentMs < intervalMs) {
      return undefined;
    }
    this._lastSentMs = nowMs;
    const changes = this._changes(running).slice(0, maximumReplicas);
    if (changes.length === 0) {
      return undefined;
    }
    for (const { replicaId, count } of changes) {
      this._recordSent(replicaId, count, running.has(replicaId));
    }
    return { running: Object.fromEntries(changes.map(({ replicaId, count }) => [replicaId, count])) };
  }

  private _changes(running: ReadonlyMap<string, number>): readonly LoadChange[] {
    const ids = new Set([...running.keys(), ...this._sentCounts.keys()]);
    const changes = [...ids].map((replicaId) => {
      const count = running.get(replicaId) ?? 0;
      const sent = this._sentCounts.get(replicaId);
      return { replicaId, count, difference: sent === undefined ? count + unsentDifference : Math.abs(count - sent) };
    });
    return changes
      .filter(({ difference }) => difference > 0)
      .sort((first, second) => second.difference - first.difference);
  }

  private _recordSent(replicaId: string, count: number, isKnown: boolean): void {
    if (isKnown) {
      this._sentCounts.set(replicaId, count);
    } else {
      this._sentCounts.delete(replicaId);
    }
  }
}

interface LoadChange {
  readonly replicaId: string;
  readonly count: number;
  readonly difference: number;
}
