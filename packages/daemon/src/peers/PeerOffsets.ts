import type * as common from '@jayhaven/common';

/** Bounds the memory; more than the daemons of a cell. */
const maximumEntries = 1024;

/** How far each daemon has replayed the control topic, as far as this daemon has heard. */
export class PeerOffsets {
  private readonly _offsets = new Map<common.Incarnation, number>();

  /** Notes an applied offset; an earlier one of the same daemon is ignored. */
  public record(incarnation: common.Incarnation, offset: number): void {
    const previousOffset = this._offsets.get(incarnation) ?? -1;
    this._offsets.delete(incarnation);
    this._offsets.set(incarnation, Math.max(previousOffset, offset));
    const oldest = this._offsets.keys().next().value;
    if (this._offsets.size > maximumEntries && oldest !== undefined) {
      this._offsets.delete(oldest);
    }
  }

  /** Daemons that have applied an offset or more, the furthest first. */
  public appliedAtLeast(offset: number): readonly common.Incarnation[] {
    return [...this._offsets]
      .filter(([, applied]) => applied >= offset)
      .sort((first, second) => second[1] - first[1])
      .map(([incarnation]) => incarnation);
  }

  /** The furthest daemon. */
  public get furthest(): { readonly incarnation: common.Incarnation; readonly offset: number } | undefined {
    const incarnation = this.appliedAtLeast(-1)[0];
    return incarnation === undefined ? undefined : { incarnation, offset: this._offsets.get(incarnation) ?? -1 };
  }
}
