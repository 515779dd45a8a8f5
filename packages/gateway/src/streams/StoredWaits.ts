import type { Clock } from '../Clock.js';

/**
 * Longest time for which the first event of a stream waits until its origin is stored, milliseconds. Without a record the
 * stream cannot be taken up after the loss of all daemons, which is better than a late stream.
 */
const longestWaitMs = 120;

interface Wait {
  readonly position: number;
  readonly onStored: () => void;
  readonly untilMs: number;
}

/** Streams that wait until their origins are stored, oldest first. One timer serves all, as they wait equally long. */
export class StoredWaits {
  private readonly _waits = new Set<Wait>();
  private _timer: NodeJS.Timeout | undefined;

  public constructor(private readonly _clock: Clock) {}

  /** Calls `onStored` when origins are stored up to a position, after the longest wait, or at once without a position. */
  public add(position: number | undefined, onStored: () => void): void {
    if (position === undefined) {
      onStored();
      return;
    }
    this._waits.add({ position, onStored, untilMs: this._nowMs() + longestWaitMs });
    this._scheduleExpiry();
  }

  /** Ends the waits for positions up to this one. */
  public resolve(position: number): void {
    this._endWaits((wait) => wait.position <= position);
  }

  public resolveAll(): void {
    this._endWaits(() => true);
  }

  private _scheduleExpiry(): void {
    const [oldest] = this._waits;
    if (oldest !== undefined) {
      this._timer ??= setTimeout(
        () => {
          this._timer = undefined;
          const nowMs = this._nowMs();
          this._endWaits(({ untilMs }) => untilMs <= nowMs);
          this._scheduleExpiry();
        },
        Math.max(oldest.untilMs - this._nowMs(), 1),
      );
    }
  }

  private _endWaits(isEnding: (wait: Wait) => boolean): void {
    for (const wait of this._waits) {
      if (isEnding(wait)) {
        this._waits.delete(wait);
        wait.onStored();
      }
    }
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}
