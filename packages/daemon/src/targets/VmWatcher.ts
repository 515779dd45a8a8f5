import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { ControlPlane, DaemonContext } from '../Types.js';
import type { LeavingVms } from './LeavingVms.js';
import { isSameVm, parseVmList, type ListedVm } from './vmList.js';

/** Number of daemons that read the VM list. */
const watcherCount = 3;
const pollIntervalMs = 1_000;
const pollTimeoutMs = 2_000;
/** Consecutive lists without a VM after which it counts as gone. */
const missingListsUntilGone = 2;
/** Additional delay per rank before a watcher writes a change, so that usually only the first one writes it. */
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
  private readonly _http = new common.JsonHttpClient({ maximumSocketsPerHost: 2 });
  private readonly _logger: common.Logger;
  private readonly _missingLists = new Map<common.VmName, number>();
  private readonly _firstSeenMs = new Map<common.VmName, number>();
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
        this._handleList(message.vms, message.readAfter);
        break;
      case 'written':
        this._writing.delete(message.vm);
        break;
    }
  }

  /** Rank of this daemon among the watchers; at least `watcherCount` if it is not a watcher. */
  private get _rank(): number {
    const members = this._control.peers.members.filter((member) => !member.suspected || member.self);
    const incarnations = members.map((member) => member.incarnation);
    const ranked = decisions.rankByRendezvous(`vm-watcher/${this._context.settings.daemon.cell}`, incarnations);
    const rank = ranked.indexOf(this._control.incarnation);
    return rank < 0 ? watcherCount : rank;
  }

  private _poll(): void {
    if (this._polling || this._rank >= watcherCount) {
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

  private _handleList(vms: ReadonlyMap<common.VmName, ListedVm> | undefined, readAfter: decisions.Offset): void {
    const known = this._control.log.state.vms;
    // An empty list in place of several VMs is assumed to be a fault: it would drop every replica at once.
    const isUsable = vms !== undefined && (vms.size > 0 || known.size <= 1);
    if (isUsable === this._failing) {
      this._failing = !isUsable;
      this._logger.warn(isUsable ? 'VM list is readable again' : 'VM list cannot be read; keeping the last known VMs');
    }
    if (!isUsable) {
      return;
    }
    this._leaving.setListed([...vms.values()].filter((vm) => vm.state === 'leaving').map((vm) => vm.vm));
    const changes = [...this._changedVms(vms, known), ...this._goneVms(vms, known)];
    const changed = new Set(changes.map((change) => change.vm));
    for (const vm of this._firstSeenMs.keys()) {
      if (!changed.has(vm)) {
        this._firstSeenMs.delete(vm);
      }
    }
    for (const change of changes) {
      this._writeChange({ ...change, readAfter });
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
        this._missingLists.delete(entry.vm);
        continue;
      }
      const missingLists = (this._missingLists.get(entry.vm) ?? 0) + 1;
      this._missingLists.set(entry.vm, missingLists);
      if (missingLists >= missingListsUntilGone) {
        const { vm, failureDomain } = entry;
        gone.push({ kind: 'vmObserved', vm, failureDomain, state: 'gone', targets: [] });
      }
    }
    return gone;
  }

  private _writeChange(change: decisions.VmObserved): void {
    const nowMs = this._context.now();
    const firstSeenMs = this._firstSeenMs.get(change.vm) ?? nowMs;
    this._firstSeenMs.set(change.vm, firstSeenMs);
    const isTooEarly = nowMs < firstSeenMs + this._rank * rankDelayMs;
    if (isTooEarly || this._writing.has(change.vm) || !this._control.log.lag.logAvailable) {
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
