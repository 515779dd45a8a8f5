/** Maximum delay of a Node.js timer, milliseconds. A timer with a longer delay fires immediately. */
const maximumTimerMs = 2 ** 31 - 1;

interface Transfer {
  remainingMs: number;
  readonly finish: () => void;
}

/**
 * Concurrent transfers. Up to `_capacity` transfers run at full speed; beyond that, they share the capacity equally.
 * The size of a transfer is given as its duration at full speed.
 */
export class TransferPool {
  private readonly _transfers = new Set<Transfer>();
  private _timer: NodeJS.Timeout | undefined;
  private _advancedAtMs = 0;
  private _slowdown = 1;

  public constructor(private readonly _capacity: number) {}

  public get inTransit(): number {
    return this._transfers.size;
  }

  /** Slows all transfers down by a factor, including those in progress. */
  public setSlowdown(factor: number, nowMs: number): void {
    this._advance(nowMs);
    this._slowdown = factor;
    this._schedule(nowMs);
  }

  /** Starts a transfer. Returns a function that cancels it. */
  public start(fullSpeedMs: number, nowMs: number, finish: () => void): () => void {
    this._advance(nowMs);
    const transfer = { remainingMs: fullSpeedMs, finish };
    this._transfers.add(transfer);
    this._schedule(nowMs);
    return () => {
      const cancelledMs = performance.now();
      this._advance(cancelledMs);
      this._transfers.delete(transfer);
      this._schedule(cancelledMs);
    };
  }

  /** Cancels all transfers. */
  public stop(): void {
    clearTimeout(this._timer);
    this._transfers.clear();
  }

  private get _speed(): number {
    return Math.min(1, this._capacity / this._transfers.size) / this._slowdown;
  }

  private _advance(nowMs: number): void {
    const workMs = (nowMs - this._advancedAtMs) * this._speed;
    this._advancedAtMs = nowMs;
    for (const transfer of this._transfers) {
      transfer.remainingMs -= workMs;
    }
  }

  private _schedule(nowMs: number): void {
    clearTimeout(this._timer);
    for (const transfer of [...this._transfers]) {
      // By the monotonic clock, timers fire up to 1 ms early.
      if (transfer.remainingMs <= 0.5) {
        this._transfers.delete(transfer);
        transfer.finish();
      }
    }
    if (this._transfers.size > 0) {
      const next = Math.min(...[...this._transfers].map((transfer) => transfer.remainingMs));
      this._timer = setTimeout(
        () => {
          const firedMs = performance.now();
          this._advance(firedMs);
          this._schedule(firedMs);
        },
        Math.min(maximumTimerMs, Math.max(0, next / this._speed)),
      );
      this._advancedAtMs = nowMs;
    }
  }
}
