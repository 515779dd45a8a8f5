import type * as common from '@jayhaven/common';
import type { PassedHint } from './Types.js';

/** Life of a hint that its origin no longer confirms, milliseconds. */
const hintLifeMs = 30_000;
/** Bounds the size of a heartbeat. */
const maximumHints = 64;

/** VMs that this daemon or a peer calls leaving, ahead of the control topic. */
export class LeavingHints {
  private _own: readonly common.VmName[] = [];
  private readonly _passed = new Map<common.VmName, number>();

  /** Sets the VMs that this daemon itself knows to be leaving. */
  public setOwn(vms: readonly common.VmName[]): void {
    this._own = vms.slice(0, maximumHints);
  }

  /** Takes over hints of a peer. Returns whether the set of VMs grew. */
  public takeOver(hints: readonly PassedHint[], nowMs: number): boolean {
    const before = this.list(nowMs).length;
    for (const { vm, ageMs } of hints.slice(0, maximumHints)) {
      this._passed.set(vm, Math.max(nowMs - ageMs, this._passed.get(vm) ?? Number.NEGATIVE_INFINITY));
    }
    return this.list(nowMs).length > before;
  }

  /** Every VM that is called leaving. */
  public list(nowMs: number): readonly common.VmName[] {
    return this.passOn(nowMs).map(({ vm }) => vm);
  }

  /** The hints for a heartbeat. */
  public passOn(nowMs: number): readonly PassedHint[] {
    const hints = this._own.map((vm): PassedHint => ({ vm, ageMs: 0 }));
    for (const [vm, atMs] of this._passed) {
      if (nowMs - atMs >= hintLifeMs) {
        this._passed.delete(vm);
      } else if (!this._own.includes(vm)) {
        hints.push({ vm, ageMs: Math.round(nowMs - atMs) });
      }
    }
    return hints.slice(0, maximumHints);
  }
}
