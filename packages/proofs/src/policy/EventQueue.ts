/** Priority queue of events by virtual time; events of the same time run in the order in which they were added. */
export class EventQueue {
  private readonly _heap: { readonly atMs: number; readonly order: number; readonly run: () => void }[] = [];
  private _order = 0;
  private _nowMs = 0;

  public get nowMs(): number {
    return this._nowMs;
  }

  /** Schedules a function; a time in the past is treated as now. */
  public schedule(atMs: number, run: () => void): void {
    this._order += 1;
    const event = { atMs: Math.max(atMs, this._nowMs), order: this._order, run };
    let index = this._heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this._isBefore(index, parent)) {
        break;
      }
      this._swap(index, parent);
      index = parent;
    }
  }

  /** Runs all events up to a time. */
  public runUntil(endMs: number): void {
    for (let next = this._heap[0]; next !== undefined && next.atMs <= endMs; next = this._heap[0]) {
      this._removeFirst();
      this._nowMs = next.atMs;
      next.run();
    }
    this._nowMs = endMs;
  }

  private _removeFirst(): void {
    const last = this._heap.pop();
    if (last === undefined || this._heap.length === 0) {
      return;
    }
    this._heap[0] = last;
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      const child = left + 1 < this._heap.length && this._isBefore(left + 1, left) ? left + 1 : left;
      if (child >= this._heap.length || !this._isBefore(child, index)) {
        return;
      }
      this._swap(index, child);
      index = child;
    }
  }

  private _isBefore(first: number, second: number): boolean {
    const one = this._heap[first];
    const other = this._heap[second];
    if (one === undefined || other === undefined) {
      return false;
    }
    return one.atMs < other.atMs || (one.atMs === other.atMs && one.order < other.order);
  }

  private _swap(first: number, second: number): void {
    const one = this._heap[first];
    const other = this._heap[second];
    if (one !== undefined && other !== undefined) {
      this._heap[first] = other;
      this._heap[second] = one;
    }
  }
}
