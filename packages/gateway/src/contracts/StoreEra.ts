import * as common from '@jayhaven/common';

/** The store has a later era: it was restored from a copy that lacks the latest writes. */
export interface EraChange {
  readonly era: number;
  /** Last era known before. */
  readonly before: number;
}

/**
 * The store's era, which rises each time the store is restored from a copy. Offsets are comparable only within an era:
 * those of the lost records are given out again.
 */
export class StoreEra {
  private _current: number | undefined;
  private readonly _onChanged = new common.Emitter<EraChange>();
  /** Fires when a later era becomes known than the one known before. */
  public readonly onChanged = this._onChanged.event;

  /** Latest known era; undefined before the first answer of the store. */
  public get current(): number | undefined {
    return this._current;
  }

  /** Records the era of an answer or of a peer's message; false if a later one is known already. */
  public observe(era: number): boolean {
    const before = this._current;
    if (before !== undefined && era <= before) {
      return era === before;
    }
    this._current = era;
    if (before !== undefined) {
      this._onChanged.fire({ era, before });
    }
    return true;
  }
}
