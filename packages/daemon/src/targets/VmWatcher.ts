import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { ControlPlane, DaemonContext } from '../Types.js';
import type { LeavingVms } from './LeavingVms.js';
import { isSameVm, parseVmList, type ListedVm } from './vmList.js';

/** Daemons that read the VM list. */
const watchers = 3;
const pollIntervalMs = 1_000;
const pollTimeoutMs = 2_000;
/** Lists in a row that must lack a VM before it counts as gone. */
const missingListsUntilGone = 2;
/** Each further watcher leaves the first ones this much time to write a change. */
const rankDelayMs = 1_500;

type WatcherMessage =
  | { readonly kind: 'poll' }
  | {
      readonly kind: 'listed';
      readonly vms: ReadonlyMap<common.VmName, ListedVm> | undefined;
      readonly readAfter: decisions.Offset;
    }
  | { readonly kind: 'written'; readonly vm: common.VmName };

/** Reads the VM list and writes its changes to the log, if this daemon is one of the watchers. */
export class VmWatcher extends common.Task<WatcherMessage> {
  private readonly _http = new common.JsonHttpClient(2);
  private readonly _logger: common.Logger;
  private readonly _missing = new Map<common.VmName, number>();
  private readonly _noticedMs = new Map<common.VmName, number>();
  private readonly _writing = new Set<common.VmName>();
  private _polling = false;
  private _failing = false;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _control: ControlPlane,
    private readonly _leaving: LeavingVms,
  ) {
    super();
    this._logger = _context.logger.child('vms');
    this.post({ kind: 'poll' });
    this.postEvery(pollIntervalMs, () => ({ kind: 'poll' }));
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    await super[Symbol.asyncDispose]();
    await this._http[Symbol.asyncDispose]();
  }

  protected override handle(message: WatcherMessage): void {
    switch (message.kind) {
      case 'poll':
        this._poll();
        break;
      case 'listed':
        this._polling = false;
        this._listed(message.vms, message.readAfter);
        break;
      case 'written':
        this._writing.delete(message.vm);
        break;
    }
  }

  /** Place of this daemon among the watchers; at least `watchers` if it is none. */
  private get _rank(): number {
    const members = this._control.peers.members.filter((member) => !member.suspected || member.self);
    const names = members.map((member) => member.incarnation);
    const ranked = decisions.rankByRendezvous(`vm-watcher/${this._context.settings.daemon.cell}`, names);
    const rank = ranked.indexOf(this._control.incarnation);
    return rank < 0 ? watchers : rank;
  }

  private _poll(): void {
    if (this._polling || this._rank >= watchers) {
      return;
    }
    this._polling = true;
    const readAfter = this._control.log.state.appliedOffset;
    const url = this._context.settings.platform.vmListUrl;
    void this._http.request({ method: 'GET', url, timeoutMs: pollTimeoutMs }).then((outcome) => {
      const ok = outcome.ok && outcome.value.status === 200;
      this.post({ kind: 'listed', vms: ok ? parseVmList(outcome.value.body) : undefined, readAfter });
    });
  }

  private _listed(vms: ReadonlyMap<common.VmName, ListedVm> | undefined, readAfter: decisions.Offset): void {
    const known = this._control.log.state.vms;
    // An empty list in place of several VMs is a fault of the list: it would drop every replica at once.
    const usable = vms !== undefined && (vms.size > 0 || known.size <= 1);
    if (usable === this._failing) {
      this._failing = !usable;
      this._logger.warn(usable ? 'VM list is readable again' : 'VM list cannot be read; the last known state holds');
    }
    if (!usable) {
      return;
    }
    this._leaving.setListed([...vms.values()].filter((vm) => vm.state === 'leaving').map((vm) => vm.vm));
    const changes = [...this._changedVms(vms, known), ...this._goneVms(vms, known)];
    const changed = new Set(changes.map((change) => change.vm));
    for (const vm of this._noticedMs.keys()) {
      if (!changed.has(vm)) {
        this._noticedMs.delete(vm);
      }
    }
    for (const change of changes) {
      this._write({ ...change, readAfter });
    }
  }

  private _changedVms(
    vms: ReadonlyMap<common.VmName, ListedVm>,
    known: decisions.ControlState['vms'],
  ): readonly decisions.VmObserved[] {
    return [...vms.values()]
      .filter((vm) => !isSameVm(vm, known.get(vm.vm)))
      .map((vm) => ({ kind: 'vmObserved', ...vm }));
  }

  private _goneVms(
    vms: ReadonlyMap<common.VmName, ListedVm>,
    known: decisions.ControlState['vms'],
  ): readonly decisions.VmObserved[] {
    const gone: decisions.VmObserved[] = [];
    for (const entry of known.values()) {
      if (vms.has(entry.vm)) {
        this._missing.delete(entry.vm);
        continue;
      }
      const lists = (this._missing.get(entry.vm) ?? 0) + 1;
      this._missing.set(entry.vm, lists);
      if (lists >= missingListsUntilGone) {
        const { vm, failureDomain } = entry;
        gone.push({ kind: 'vmObserved', vm, failureDomain, state: 'gone', targets: [] });
      }
    }
    return gone;
  }

  private _write(change: decisions.VmObserved): void {
    const nowMs = this._context.now();
    const noticedMs = this._noticedMs.get(change.vm) ?? nowMs;
    this._noticedMs.set(change.vm, noticedMs);
    const early = nowMs < noticedMs + this._rank * rankDelayMs;
    if (early || this._writing.has(change.vm) || !this._control.log.lag.logAvailable) {
      return;
    }
    this._writing.add(change.vm);
    void this._control.log.append(change, this._context.settings.platform.logTimeoutMs).then((outcome) => {
      if (outcome.ok) {
        this._context.timeline.record({
          part: 'vms',
          event: 'vmObserved',
          offset: outcome.value.offset,
          detail: { vm: change.vm, state: change.state, targets: change.targets.length },
        });
      }
      this.post({ kind: 'written', vm: change.vm });
    });
  }
}
