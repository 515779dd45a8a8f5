import type * as common from '@jayhaven/common';
import type { RelayedHint } from './Types.js';

/** Lifetime of a hint that its origin no longer confirms, milliseconds. */
const hintLifetimeMs = 30_000;
/** Limits the size of a heartbeat. */
const maximumHints = 64;

/** VMs that this daemon or a peer reports as leaving, before the control topic does. */
export class LeavingHints {
  private _ownVms: readonly common.VmName[] = [];
  private readonly _confirmedAtMs = new Map<common.VmName, number>();

  /** Sets the VMs that this daemon itself has detected as leaving. */
  public setOwn(vms: readonly common.VmName[]): void {
    this._ownVms = vms.slice(0, maximumHints);
  }

  /** Merges the hints of a peer. Returns whether the number of VMs increased. */
  public merge(hints: readonly RelayedHint[], nowMs: number): boolean {
    const previousCount = this.vms(nowMs).length;
    for (const { vm, ageMs } of hints.slice(0, maximumHints)) {
      this._confirmedAtMs.set(vm, Math.max(nowMs - ageMs, this._confirmedAtMs.get(vm) ?? Number.NEGATIVE_INFINITY));
    }
    return this.vms(nowMs).length > previousCount;
  }

  /** All VMs that are reported as leaving. */
  public vms(nowMs: number): readonly common.VmName[] {
    return this.hintsToRelay(nowMs).map(({ vm }) => vm);
  }

  /** Returns the hints to send in a heartbeat. */
  public hintsToRelay(nowMs: number): readonly RelayedHint[] {
    const hints = this._ownVms.map((vm): RelayedHint => ({ vm, ageMs: 0 }));
    for (const [vm, confirmedAtMs] of this._confirmedAtMs) {
      if (nowMs - confirmedAtMs >= hintLifetimeMs) {
        this._confirmedAtMs.delete(vm);
      } else if (!this._ownVms.includes(vm)) {
        hints.push({ vm, ageMs: Math.round(nowMs - confirmedAtMs) });
      }
    }
    return hints.slice(0, maximumHints);
  }
}
