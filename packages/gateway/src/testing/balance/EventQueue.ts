interface Entry {
  readonly atMs: number;
  readonly action: () => void;
}

/** Actions in the order of their simulated times, as a binary heap. */
export class EventQueue {
  private readonly _heap: Entry[] = [];
  public nowMs = 0;

  public schedule(delayMs: number, action: () => void): void {
    const heap = this._heap;
    const entry = { atMs: this.nowMs + delayMs, action };
    let index = heap.length;
    heap.push(entry);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = heap[parent];
      if (above === undefined || above.atMs <= entry.atMs) {
        break;
      }
      heap[index] = above;
      index = parent;
    }
    heap[index] = entry;
  }

  public runNext(): void {
    const first = this._heap[0];
    const last = this._heap.pop();
    if (first === undefined || last === undefined) {
      return;
    }
    if (this._heap.length > 0) {
      this._sink(last);
    }
    this.nowMs = first.atMs;
    first.action();
  }

  private _sink(entry: Entry): void {
    const heap = this._heap;
    let index = 0;
    for (;;) {
      const left = index * 2 + 1;
      const leftMs = heap[left]?.atMs ?? Number.POSITIVE_INFINITY;
      const rightMs = heap[left + 1]?.atMs ?? Number.POSITIVE_INFINITY;
      const child = rightMs < leftMs ? left + 1 : left;
      const below = heap[child];
      if (below === undefined || below.atMs >= entry.atMs) {
        break;
      }
      heap[index] = below;
      index = child;
    }
    heap[index] = entry;
  }
}
