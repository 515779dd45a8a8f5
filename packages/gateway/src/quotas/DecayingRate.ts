/** A mean rate that weights recent events most: the weight of an event falls by 1/e in the time constant. */
export class DecayingRate {
  private _sum = 0;
  private _updatedMs = Number.NEGATIVE_INFINITY;

  /** `_constantMs` is the time constant, milliseconds. */
  public constructor(private readonly _constantMs: number) {}

  public add(amount: number, nowMs: number): void {
    this._sum = this._decayed(nowMs) + amount;
    this._updatedMs = Math.max(nowMs, this._updatedMs);
  }

  /** Amount per second. */
  public perSecond(nowMs: number): number {
    return (this._decayed(nowMs) * 1_000) / this._constantMs;
  }

  private _decayed(nowMs: number): number {
    return this._sum * Math.exp(-Math.max(nowMs - this._updatedMs, 0) / this._constantMs);
  }
}
