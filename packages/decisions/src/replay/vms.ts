/** Replay of observations of VMs in the VM list. */
import type * as common from '@jayhaven/common';
import { filterEntries, withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import type * as types from '../Types.js';
import { accept, reject, type TypedRecord } from './verdicts.js';

/**
 * Applies an observation. Replicas on targets that are no longer listed are removed. Load orders remain until their
 * senders are settled, because they may reach a new VM with the same address; other orders are removed.
 */
export function replayVmObserved(state: types.ControlState, record: TypedRecord<types.VmObserved>): types.ReplayResult {
  const { vm, failureDomain, state: observed, targets } = record.body;
  const previous = state.vms.get(vm);
  const newer = findNewerRecord(state, record.body);
  if (newer !== undefined) {
    return reject(state, 'wrongState', `observation of VM ${vm} is older than record ${newer}`, newer);
  }
  if (observed === 'gone') {
    const vms = withoutEntry(state.vms, vm);
    return accept({ ...removeTargets(state, targetAddressesOf(previous)), vms });
  }
  const removed = targetAddressesOf(previous);
  for (const target of targets) {
    removed.delete(target.address);
  }
  const entry: types.VmEntry = { vm, failureDomain, state: observed, targets, observedAt: record.offset };
  return accept({ ...removeTargets(state, removed), vms: withEntry(state.vms, vm, entry) });
}

/** Finds the record that makes an observation outdated; undefined if the observation is recent enough. */
function findNewerRecord(state: types.ControlState, observation: types.VmObserved): types.Offset | undefined {
  const { vm, readAfter, basedOn } = observation;
  const latest = state.vms.get(vm)?.observedAt;
  if (basedOn !== undefined && basedOn !== (latest ?? null)) {
    return latest ?? state.appliedOffset;
  }
  if (readAfter === undefined) {
    return undefined;
  }
  if (latest !== undefined && latest > readAfter) {
    return latest;
  }
  const replicas = observation.state === 'gone' ? [...state.replicas.values()] : [];
  return replicas.find((replica) => replica.vm === vm && replica.replica > readAfter)?.replica;
}

function targetAddressesOf(vm: types.VmEntry | undefined): Set<common.TargetAddress> {
  return new Set(vm?.targets.map((target) => target.address));
}

function removeTargets(state: types.ControlState, addresses: ReadonlySet<common.TargetAddress>): types.ControlState {
  if (addresses.size === 0) {
    return state;
  }
  const orders = new Map<types.OrderId, types.OrderEntry>();
  for (const [id, order] of state.orders) {
    if (!addresses.has(order.target)) {
      orders.set(id, order);
    } else if (order.action === 'load' || order.action === 'adapterLoad') {
      orders.set(id, { ...order, targetGone: true });
    }
  }
  return {
    ...state,
    orders,
    replicas: filterEntries(state.replicas, (replica) => !addresses.has(replica.target)),
    fences: filterEntries(state.fences, (_fence, address) => !addresses.has(address)),
  };
}
