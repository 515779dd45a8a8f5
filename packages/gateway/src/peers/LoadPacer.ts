import type { LoadsMessage } from './Types.js';

/** Most replicas in one message, so that a daemon's traffic does not grow with the installation. */
const maximumReplicas = 64;

/**
 * Chooses which loads of replicas the followers are sent: those that moved most since they were told last, at intervals.
 * Without a bound, these counts are the larger part of the traffic between daemons.
 */
export class LoadPacer {
  private readonly _told = new Map<string, number>();
  private _sentMs = Number.NEGATIVE_INFINITY;

  /** Returns the message to send now; undefined if none is due or nothing has changed. `intervalMs` is in milliseconds. */
  public next(running: ReadonlyMap<string, number>, intervalMs: number, nowMs: number): LoadsMessage | undefined {
    if (nowMs - this._sentMs < intervalMs) {
      return undefined;
    }
    this._sentMs = nowMs;
    const changes = this._changes(running).slice(0, maximumReplicas);
    if (changes.length === 0) {
      return undefined;
    }
    for (const { replicaId, count } of changes) {
      this._note(replicaId, count);
    }
    return { running: Object.fromEntries(changes.map(({ replicaId, count }) => [replicaId, count])) };
  }

  private _changes(running: ReadonlyMap<string, number>): readonly Change[] {
    const ids = new Set([...running.keys(), ...this._told.keys()]);
    const changes = [...ids].map((replicaId) => {
      const count = running.get(replicaId) ?? 0;
      return { replicaId, count, difference: Math.abs(count - (this._told.get(replicaId) ?? 0)) };
    });
    return changes
      .filter(({ difference }) => difference > 0)
      .sort((first, second) => second.difference - first.difference);
  }

  private _note(replicaId: string, count: number): void {
    if (count === 0) {
      this._told.delete(replicaId);
    } else {
      this._told.set(replicaId, count);
    }
  }
}

interface Change {
  readonly replicaId: string;
  readonly count: number;
  readonly difference: number;
}
