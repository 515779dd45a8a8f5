import type * as common from '@jayhaven/common';

/** Limits the memory. Larger than the number of daemons of a cell. */
const maximumEntries = 1024;

/** Last known offset of the control topic that each daemon has applied. */
export class PeerOffsets {
  private readonly _offsets = new Map<common.Incarnation, number>();

  /** Records an applied offset. A lower one of the same daemon is ignored. */
  public record(incarnation: common.Incarnation, offset: number): void {
    const previousOffset = this._offsets.get(incarnation) ?? -1;
    this._offsets.delete(incarnation);
    this._offsets.set(incarnation, Math.max(previousOffset, offset));
    const oldest = this._offsets.keys().next().value;
    if (this._offsets.size > maximumEntries && oldest !== undefined) {
      this._offsets.delete(oldest);
    }
  }

  /** Daemons that have applied the offset or a later one, the furthest first. */
  public appliedAtLeast(offset: number): readonly common.Incarnation[] {
    return [...this._offsets]
      .filter(([, applied]) => applied >= offset)
      .sort((first, second) => second[1] - first[1])
      .map(([incarnation]) => incarnation);
  }

  /** The daemon with the highest applied offset. */
  public get furthest(): { readonly incarnation: common.Incarnation; readonly offset: number } | undefined {
    const incarnation = this.appliedAtLeast(-1)[0];
    return incarnation === undefined ? undefined : { incarnation, offset: this._offsets.get(incarnation) ?? -1 };
  }
}
