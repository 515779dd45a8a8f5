/**
 * Longest time for which the first event of a stream waits until its origin is stored, milliseconds. Without a record the
 * stream cannot be taken up after the loss of all daemons, which is better than a late stream.
 */
const longestWaitMs = 120;

interface Wait {
  readonly position: number;
  readonly onStored: () => void;
  readonly timer: NodeJS.Timeout;
}

/** Streams that wait until their origins are stored. */
export class StoredWaits {
  private readonly _waits = new Set<Wait>();

  /** Calls `onStored` when origins are stored up to a position, after the longest wait, or at once without a position. */
  public add(position: number | undefined, onStored: () => void): void {
    if (position === undefined) {
      onStored();
      return;
    }
    const wait: Wait = {
      position,
      onStored,
      timer: setTimeout(() => {
        this._end(wait);
      }, longestWaitMs),
    };
    this._waits.add(wait);
  }

  /** Ends the waits for positions up to this one. */
  public resolve(position: number): void {
    for (const wait of this._waits) {
      if (wait.position <= position) {
        this._end(wait);
      }
    }
  }

  public resolveAll(): void {
    this.resolve(Number.POSITIVE_INFINITY);
  }

  private _end(wait: Wait): void {
    clearTimeout(wait.timer);
    if (this._waits.delete(wait)) {
      wait.onStored();
    }
  }
}
