import type * as common from '@jayhaven/common';
import type { ControlPlane } from '../Types.js';

/** VMs called leaving by the VM list or by peers, ahead of the log. */
export class LeavingVms {
  /** From the VM list, as far as this daemon reads it. */
  private _listed: ReadonlySet<common.VmName> = new Set();
  /** From peers, which pass hints on themselves. */
  private readonly _received = new Set<common.VmName>();
  private readonly _unsubscribe: readonly common.Unsubscribe[];

  public constructor(private readonly _control: ControlPlane) {
    this._unsubscribe = [
      _control.peers.onLeavingHints((vms) => {
        this._addHints(vms);
      }),
      _control.log.onChange((change) => {
        if (change.record.body.kind === 'vmObserved') {
          this._dropRecorded();
        }
      }),
    ];
  }

  /** Hints that the log does not have yet. */
  public get hints(): ReadonlySet<common.VmName> {
    return new Set([...this._listed, ...this._received]);
  }

  /** Takes over what the VM list calls leaving now, and tells the peers. */
  public setListed(vms: readonly common.VmName[]): void {
    const newHints = vms.filter((vm) => this._isUnrecorded(vm));
    if (newHints.length !== this._listed.size || newHints.some((vm) => !this._listed.has(vm))) {
      this._listed = new Set(newHints);
      this._control.peers.setLeavingHints(newHints);
    }
  }

  /** Whether a VM takes no new work. */
  public isLeaving(vm: common.VmName): boolean {
    return this._listed.has(vm) || this._received.has(vm) || this._control.log.state.vms.get(vm)?.state === 'leaving';
  }

  /** Stops listening. */
  public close(): void {
    for (const unsubscribe of this._unsubscribe) {
      unsubscribe();
    }
  }

  /** A hint is over once the record that says the same is replayed, also if the VM is gone already. */
  private _isUnrecorded(vm: common.VmName): boolean {
    return this._control.log.state.vms.get(vm)?.state === 'live';
  }

  private _addHints(vms: readonly common.VmName[]): void {
    for (const vm of vms) {
      if (this._isUnrecorded(vm)) {
        this._received.add(vm);
      }
    }
  }

  private _dropRecorded(): void {
    this.setListed([...this._listed]);
    for (const vm of this._received) {
      if (!this._isUnrecorded(vm)) {
        this._received.delete(vm);
      }
    }
  }
}
