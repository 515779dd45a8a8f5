import type * as common from '@jayhaven/common';
import type { ControlPlane } from '../Types.js';

/** VMs that the VM list or peers report as leaving before the log has the record. */
export class LeavingVms {
  /** VMs from the VM list, if this daemon reads it. */
  private _listed: ReadonlySet<common.VmName> = new Set();
  /** VMs from peers; they are not forwarded, because peers spread their hints themselves. */
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

  /** Leaving VMs that the log does not have as leaving yet. */
  public get hints(): ReadonlySet<common.VmName> {
    return new Set([...this._listed, ...this._received]);
  }

  /** Sets the VMs that the VM list currently reports as leaving, and sends changes to the peers. */
  public setListed(vms: readonly common.VmName[]): void {
    const newHints = vms.filter((vm) => this._isUnrecorded(vm));
    if (newHints.length !== this._listed.size || newHints.some((vm) => !this._listed.has(vm))) {
      this._listed = new Set(newHints);
      this._control.peers.setLeavingHints(newHints);
    }
  }

  /** Whether a VM is leaving and must get no new work. */
  public isLeaving(vm: common.VmName): boolean {
    return this._listed.has(vm) || this._received.has(vm) || this._control.log.state.vms.get(vm)?.state === 'leaving';
  }

  /** Removes the listeners. */
  public close(): void {
    for (const unsubscribe of this._unsubscribe) {
      unsubscribe();
    }
  }

  /** Whether the log still has a VM as live; a hint ends once the VM is leaving or gone in the replayed state. */
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
