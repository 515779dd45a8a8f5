interface Waiter {
  readonly nextOffset: number;
  readonly finish: (reached: boolean) => void;
}

/** Callers that wait until the records of a topic are applied up to an offset. */
export class OffsetWaiters {
  private readonly _waiters = new Set<Waiter>();

  /** Resolves with true when the position reaches an offset, or with false after the timeout. */
  public wait(nextOffset: number, position: number, timeoutMs: number): Promise<boolean> {
    if (position >= nextOffset) {
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      const finish = (reached: boolean): void => {
        clearTimeout(timer);
        this._waiters.delete(waiter);
        resolve(reached);
      };
      const timer = setTimeout(() => {
        finish(false);
      }, timeoutMs);
      const waiter: Waiter = { nextOffset, finish };
      this._waiters.add(waiter);
    });
  }

  /** Resolves the waits that the new position satisfies. */
  public advance(position: number): void {
    for (const waiter of [...this._waiters]) {
      if (position >= waiter.nextOffset) {
        waiter.finish(true);
      }
    }
  }

  /** Resolves every wait with false. */
  public close(): void {
    for (const waiter of [...this._waiters]) {
      waiter.finish(false);
    }
  }
}
