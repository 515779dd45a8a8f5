/** Counts of replicas and of loads in progress. */
import type * as types from '../Types.js';
import { adapterOf } from './memory.js';

/** A replica of a model version that exists, or that an unsettled load order may still create. */
export interface CountedReplica {
  readonly replica: types.ReplicaId;
  readonly target: string;
  /** `pinned`: the replica is gone, but an unsettled order may still load it. */
  readonly state: types.ReplicaState | 'pinned';
  /** Entry of the replica; absent if the state is `pinned`. */
  readonly entry?: types.ReplicaEntry;
}

/** Counted replicas of a model version: loading, ready, unloading, or `pinned` by an unsettled load order. */
export function replicasOf(state: types.ControlState, version: types.ModelVersion): readonly CountedReplica[] {
  const counted: CountedReplica[] = [];
  for (const entry of state.replicas.values()) {
    if (isSameVersion(entry, version)) {
      counted.push({ replica: entry.replica, target: entry.target, state: entry.state, entry });
    }
  }
  for (const order of state.orders.values()) {
    if (isCountedLoadOrder(order) && isSameVersion(order, version) && !state.replicas.has(order.replica)) {
      counted.push({ replica: order.replica, target: order.target, state: 'pinned' });
    }
  }
  return counted;
}

/**
 * Counted replicas to which `maximumReplicas` applies. Replicas on a leaving VM are left out, so that a replacement can
 * be loaded before the VM is gone.
 */
export function replicasTowardMaximum(
  state: types.ControlState,
  version: types.ModelVersion,
): readonly CountedReplica[] {
  return replicasOf(state, version).filter(
    ({ entry }) => entry === undefined || state.vms.get(entry.vm)?.state !== 'leaving',
  );
}

/** Whether two model versions are the same set of weights. */
export function isSameVersion(first: types.ModelVersion, second: types.ModelVersion): boolean {
  return isSameModel(first, second) && first.version === second.version;
}

/** Whether two model versions belong to the same model. */
export function isSameModel(first: types.ModelVersion, second: types.ModelVersion): boolean {
  return first.partner === second.partner && first.model === second.model;
}

/** Counts loads that use the weight store or may still use it: loading replicas and unsettled load orders. */
export function loadsInProgress(state: types.ControlState): number {
  let count = 0;
  for (const replica of state.replicas.values()) {
    count += replica.state === 'loading' ? 1 : 0;
  }
  for (const order of state.orders.values()) {
    const replicaState = state.replicas.get(order.replica)?.state;
    count += isCountedLoadOrder(order) && replicaState !== 'loading' && replicaState !== 'ready' ? 1 : 0;
  }
  return count;
}

/** Counts adapters in transit from the weight store, and unsettled orders that may still load one. */
export function adaptersInTransit(state: types.ControlState): number {
  let count = 0;
  for (const replica of state.replicas.values()) {
    for (const adapter of replica.adapters.values()) {
      count += adapter.state === 'loading' ? 1 : 0;
    }
  }
  for (const order of state.orders.values()) {
    const adapter = adapterOf(state, order);
    const isCounted = adapter?.order === order.order && adapter.state !== 'unloading';
    count += order.action === 'adapterLoad' && order.targetGone !== true && !isCounted ? 1 : 0;
  }
  return count;
}

function isCountedLoadOrder(order: types.OrderEntry): boolean {
  return order.action === 'load' && order.targetGone !== true;
}
