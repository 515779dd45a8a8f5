import type * as common from '@jayhaven/common';
import type { ControlPlane } from '../Types.js';

/** VMs called leaving by the VM list or by peers, ahead of the log. */
export class LeavingVms {
  private readonly _hints = new Set<common.VmName>();
  private readonly _unsubscribe: readonly common.Unsubscribe[];

  public constructor(private readonly _control: ControlPlane) {
    this._unsubscribe = [
      _control.peers.onLeavingHints((vms) => {
        this.add(vms);
      }),
      _control.log.onChange((change) => {
        if (change.record.body.kind === 'vmObserved') {
          this._expire();
        }
      }),
    ];
  }

  /** Hints that the log does not have yet. */
  public get hints(): ReadonlySet<common.VmName> {
    return this._hints;
  }

  /** Takes over hints and passes them on, because heartbeats reach only a few peers. */
  public add(vms: readonly common.VmName[]): void {
    const before = this._hints.size;
    for (const vm of vms) {
      if (this._isNews(vm)) {
        this._hints.add(vm);
      }
    }
    if (this._hints.size !== before) {
      this._control.peers.setLeavingHints([...this._hints]);
    }
  }

  /** Whether a VM takes no new work. */
  public isLeaving(vm: common.VmName): boolean {
    return this._hints.has(vm) || this._control.log.state.vms.get(vm)?.state === 'leaving';
  }

  /** Stops listening. */
  public close(): void {
    for (const unsubscribe of this._unsubscribe) {
      unsubscribe();
    }
  }

  /** A hint is over once the record that says the same is replayed, also if the VM is gone already. */
  private _isNews(vm: common.VmName): boolean {
    return this._control.log.state.vms.get(vm)?.state === 'live';
  }

  private _expire(): void {
    const expired = [...this._hints].filter((vm) => !this._isNews(vm));
    if (expired.length > 0) {
      for (const vm of expired) {
        this._hints.delete(vm);
      }
      this._control.peers.setLeavingHints([...this._hints]);
    }
  }
}
