import type { Clock } from '../Clock.js';

/**
 * Longest time for which the first event of a stream waits until its origin is stored, milliseconds. Without a record the
 * stream cannot be taken up after the loss of all daemons, which is better than a late stream.
 */
const defaultWaitMs = 120;

/** A position that no message has yet. */
const unsent = Number.POSITIVE_INFINITY;

interface Wait {
  position: number;
  readonly onStored: () => void;
  readonly onLate: () => void;
  readonly untilMs: number;
}

/** Streams that wait until their origins are stored, oldest first. One timer serves all, as they wait equally long. */
export class StoredWaits {
  private readonly _waits = new Set<Wait>();
  private _timer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly _clock: Clock,
    private readonly _longestWaitMs = defaultWaitMs,
  ) {}

  /**
   * Calls `onStored` when origins are stored up to a position, or at once without a position, and `onLate` after the longest
   * wait.
   */
  public add(position: number | undefined, onStored: () => void, onLate = onStored): void {
    if (position === undefined) {
      onStored();
      return;
    }
    this._waits.add({ position, onStored, onLate, untilMs: this._nowMs() + this._longestWaitMs });
    this._scheduleExpiry();
  }

  /** Ends the waits for positions up to this one. */
  public resolve(position: number): void {
    this._endWaits((wait) => wait.position <= position);
  }

  public resolveAll(): void {
    this._endWaits(() => true);
  }

  /** Makes all waits last until their origins are sent again, as the leader to which they were sent is not followed any more. */
  public suspend(): void {
    for (const wait of this._waits) {
      wait.position = unsent;
    }
  }

  /** Sets the position of suspended waits, whose origins have been sent again. */
  public resume(position: number): void {
    for (const wait of this._waits) {
      wait.position = Math.min(wait.position, position);
    }
  }

  /** Moves all waits to others, suspended, with the time that is left. */
  public moveTo(other: StoredWaits): void {
    this.suspend();
    for (const wait of this._waits) {
      other._waits.add(wait);
    }
    this._waits.clear();
    other._scheduleExpiry();
  }

  /** Time for which the oldest wait has lasted, milliseconds; 0 without any. */
  public oldestMs(nowMs: number): number {
    const [oldest] = this._waits;
    return oldest === undefined ? 0 : nowMs - (oldest.untilMs - this._longestWaitMs);
  }

  private _scheduleExpiry(): void {
    const [oldest] = this._waits;
    if (oldest !== undefined) {
      this._timer ??= setTimeout(
        () => {
          this._timer = undefined;
          const nowMs = this._nowMs();
          for (const wait of [...this._waits].filter(({ untilMs }) => untilMs <= nowMs)) {
            this._waits.delete(wait);
            wait.onLate();
          }
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
