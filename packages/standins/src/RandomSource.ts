/** Deterministic random numbers (mulberry32), so that the faults of a run can be reproduced from its seed. */
export class RandomSource {
  private _state: number;

  public constructor(seed: number) {
    this._state = seed >>> 0;
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  public next(): number {
    this._state = (this._state + 0x6d2b79f5) >>> 0;
    let mixed = this._state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
}
