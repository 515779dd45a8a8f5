/** Time of a simulation in steps of one millisecond, with events at later times and chances drawn from one random source. */
export class SimulatedTime {
  private readonly _events = new Map<number, (() => void)[]>();
  private _nowMs = 0;

  /** `_random` returns numbers from 0 up to 1, so that a seed repeats a simulation. */
  public constructor(private readonly _random: () => number) {}

  /** Time since the start, milliseconds. */
  public get nowMs(): number {
    return this._nowMs;
  }

  public advance(): void {
    this._nowMs += 1;
  }

  public runDueEvents(): void {
    for (const event of this._events.get(this._nowMs) ?? []) {
      event();
    }
    this._events.delete(this._nowMs);
  }

  /** Calls `event` after a delay of at least one millisecond. */
  public after(delayMs: number, event: () => void): void {
    const atMs = this._nowMs + Math.max(Math.round(delayMs), 1);
    this._events.set(atMs, [...(this._events.get(atMs) ?? []), event]);
  }

  public between(least: number, most: number): number {
    return least + this._random() * (most - least);
  }

  /** Whether something that happens so often happens in this step. */
  public happens(perSecond: number): boolean {
    return this._random() < perSecond / 1_000;
  }

  /** One of the items; undefined if there is none. */
  public pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this._random() * items.length)];
  }
}
