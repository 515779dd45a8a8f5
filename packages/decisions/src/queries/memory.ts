/** Memory that replicas, adapters and unsettled orders use on the accelerators of targets. */
import type * as common from '@jayhaven/common';
import type * as types from '../Types.js';

interface ListedTarget {
  readonly vm: types.VmEntry;
  readonly target: types.TargetDescription;
}

interface TargetIndex {
  readonly targets: ReadonlyMap<common.TargetAddress, ListedTarget>;
  readonly used: ReadonlyMap<common.TargetAddress, readonly number[]>;
}

// States are immutable, so an index is valid for as long as its state exists.
const targetsByVms = new WeakMap<types.ControlState['vms'], TargetIndex['targets']>();
const usedByState = new WeakMap<types.ControlState, TargetIndex['used']>();

/** Finds a target and its VM. */
export function findTarget(state: types.ControlState, address: common.TargetAddress): ListedTarget | undefined {
  let targets = targetsByVms.get(state.vms);
  if (targets === undefined) {
    const found = new Map<common.TargetAddress, ListedTarget>();
    for (const vm of state.vms.values()) {
      for (const target of vm.targets) {
        found.set(target.address, { vm, target });
      }
    }
    targets = found;
    targetsByVms.set(state.vms, targets);
  }
  return targets.get(address);
}

/**
 * Free memory of each accelerator of a target, bytes. Replicas and adapters in every state use memory, and unsettled
 * orders may reserve some. Empty for an unknown target.
 */
export function freeBytes(state: types.ControlState, address: common.TargetAddress): types.AcceleratorBytes {
  const listed = findTarget(state, address);
  if (listed === undefined) {
    return [];
  }
  const used = usedBytes(state).get(address) ?? [];
  return listed.target.acceleratorBytes.map((size, index) => size - (used[index] ?? 0));
}

/** Whether an order reserves memory that no replica or adapter of the state accounts for. */
export function reservesMemory(state: types.ControlState, order: types.OrderEntry): boolean {
  if (order.action === 'load') {
    return !state.replicas.has(order.replica);
  }
  if (order.action === 'adapterLoad') {
    return adapterOf(state, order)?.order !== order.order;
  }
  return false;
}

/** Finds the adapter of an order, if its replica still has it. */
export function adapterOf(state: types.ControlState, order: types.OrderEntry): types.AdapterEntry | undefined {
  return order.adapter === undefined ? undefined : state.replicas.get(order.replica)?.adapters.get(order.adapter);
}

function usedBytes(state: types.ControlState): TargetIndex['used'] {
  const cached = usedByState.get(state);
  if (cached !== undefined) {
    return cached;
  }
  const used = new Map<common.TargetAddress, number[]>();
  for (const replica of state.replicas.values()) {
    addBytes(used, replica.target, replica.bytes);
    for (const adapter of replica.adapters.values()) {
      addBytes(used, replica.target, adapter.bytes);
    }
  }
  for (const order of state.orders.values()) {
    if (reservesMemory(state, order)) {
      addBytes(used, order.target, order.bytes);
    }
  }
  usedByState.set(state, used);
  return used;
}

function addBytes(
  used: Map<common.TargetAddress, number[]>,
  address: common.TargetAddress,
  bytes: types.AcceleratorBytes,
): void {
  const sums = used.get(address) ?? [];
  bytes.forEach((count, index) => {
    sums[index] = (sums[index] ?? 0) + count;
  });
  used.set(address, sums);
}
