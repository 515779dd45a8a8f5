import { targetKey } from '../placement/DemandBook.js';
import type { WaitingReport } from '../peers/Types.js';
import type { ModelReference } from '../Types.js';

/** A request that waits until a replica holds its model and adapter. */
export interface Waiter {
  readonly target: ModelReference;
  /** Rank of the request; 0 goes first. */
  readonly urgency: number;
  /** When the request is late, steady milliseconds. */
  readonly lateAtMs: number;
  /** Tries to send the request; true if it needs to wait no longer. */
  readonly tryAgain: () => boolean;
}

/** The requests of this daemon that wait, by model and adapter. */
export class WaitingRoom {
  private readonly _waiters = new Map<string, Set<Waiter>>();

  public add(waiter: Waiter): void {
    const key = targetKey(waiter.target);
    const waiters = this._waiters.get(key) ?? new Set<Waiter>();
    waiters.add(waiter);
    this._waiters.set(key, waiters);
  }

  public remove(waiter: Waiter): void {
    const key = targetKey(waiter.target);
    const waiters = this._waiters.get(key);
    waiters?.delete(waiter);
    if (waiters?.size === 0) {
      this._waiters.delete(key);
    }
  }

  /** Lets every waiting request try again, the most urgent first. */
  public tryAll(): void {
    const waiters = [...this._waiters.values()].flatMap((set) => [...set]);
    waiters.sort((first, second) => first.urgency - second.urgency || first.lateAtMs - second.lateAtMs);
    for (const waiter of waiters) {
      if (waiter.tryAgain()) {
        this.remove(waiter);
      }
    }
  }

  /** Number of waiting requests. */
  public get size(): number {
    return [...this._waiters.values()].reduce((sum, waiters) => sum + waiters.size, 0);
  }

  /** What waits, for the leader. */
  public report(nowMs: number): readonly WaitingReport[] {
    return [...this._waiters.values()].flatMap((waiters) => {
      const [first] = waiters;
      const slackMs = Math.min(...[...waiters].map((waiter) => waiter.lateAtMs - nowMs));
      return first === undefined ? [] : [{ target: first.target, count: waiters.size, slackMs: Math.round(slackMs) }];
    });
  }
}
