/** Memory in use on each accelerator. Overcommitment is not refused, only reported. */
export class AcceleratorMemory {
  private readonly _used: number[];

  public constructor(private readonly _sizes: readonly number[]) {
    this._used = _sizes.map(() => 0);
  }

  public get usedBytes(): readonly number[] {
    return [...this._used];
  }

  public get freeBytes(): readonly number[] {
    return this._sizes.map((size, index) => size - (this._used[index] ?? 0));
  }

  /** Allocates memory. Returns the indices of the accelerators whose size is now exceeded. */
  public allocate(bytes: readonly number[]): readonly number[] {
    this._add(bytes, 1);
    return this._sizes.map((_size, index) => index).filter((index) => (this.freeBytes[index] ?? 0) < 0);
  }

  public release(bytes: readonly number[]): void {
    this._add(bytes, -1);
  }

  /**
   * Distributes the memory of an order over the accelerators. A list gives the bytes of each accelerator, or of each
   * one in `accelerators`; a number is divided evenly among those in `accelerators`, or among all by default.
   */
  public distribute(bytes: number | readonly number[], accelerators: readonly number[] | undefined): readonly number[] {
    const all = this._sizes.map((_size, index) => index);
    const selected = accelerators ?? all;
    const shares = typeof bytes === 'number' ? selected.map(() => bytes / selected.length) : bytes;
    const indices = shares.length === selected.length ? selected : all;
    return all.map((index) => shares[indices.indexOf(index)] ?? 0);
  }

  private _add(bytes: readonly number[], sign: 1 | -1): void {
    bytes.forEach((share, index) => {
      this._used[index] = (this._used[index] ?? 0) + sign * share;
    });
  }
}
