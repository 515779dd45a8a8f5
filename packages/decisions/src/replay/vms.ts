/** Replay of observations of the VM list. */
import type * as common from '@jayhaven/common';
import { filterEntries, withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import type * as types from '../Types.js';
import { accept, reject, type Step } from './verdicts.js';

/** Takes over an observation; replicas and orders on targets that are no longer listed are dropped. */
export function replayVmObserved(state: types.ControlState, step: Step<types.VmObserved>): types.ReplayResult {
  const { vm, failureDomain, state: observed, targets, basedOn } = step.body;
  const known = state.vms.get(vm);
  const observedAt = known?.observedAt ?? null;
  if (basedOn !== undefined && basedOn !== observedAt) {
    const message = `observation of VM ${vm} is older than the one at ${observedAt ?? 'none'}`;
    return reject(state, 'wrongState', message, observedAt ?? undefined);
  }
  if (observed === 'gone') {
    const vms = withoutEntry(state.vms, vm);
    return accept({ ...dropTargets(state, addressesOf(known)), vms });
  }
  const removed = addressesOf(known);
  for (const target of targets) {
    removed.delete(target.address);
  }
  const entry: types.VmEntry = { vm, failureDomain, state: observed, targets, observedAt: step.offset };
  return accept({ ...dropTargets(state, removed), vms: withEntry(state.vms, vm, entry) });
}

function addressesOf(vm: types.VmEntry | undefined): Set<common.TargetAddress> {
  return new Set(vm?.targets.map((target) => target.address));
}

function dropTargets(state: types.ControlState, addresses: ReadonlySet<common.TargetAddress>): types.ControlState {
  if (addresses.size === 0) {
    return state;
  }
  return {
    ...state,
    replicas: filterEntries(state.replicas, (replica) => !addresses.has(replica.target)),
    orders: filterEntries(state.orders, (order) => !addresses.has(order.target)),
    fences: filterEntries(state.fences, (_fence, address) => !addresses.has(address)),
  };
}
