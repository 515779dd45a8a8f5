/** Queries on the replayed state for placement, with indexes that are built once per state. */
import type * as common from '@jayhaven/common';
import {
  replicasOf as findReplicas,
  replicasTowardMaximum as findReplicasTowardMaximum,
  type CountedReplica,
} from '../queries/replicas.js';
import type { ControlState, ModelVersion, OrderEntry, OrderId, ReplicaEntry, ReplicaId } from '../Types.js';
import { sumBytes } from './fitting.js';

export { allModels, modelSettings, shareOf } from '../configuration/settings.js';
export { freeBytes } from '../queries/memory.js';
export { isSameVersion } from '../queries/replicas.js';

interface ModelIndex {
  readonly replicas: Map<ReplicaId, ReplicaEntry>;
  readonly orders: Map<OrderId, OrderEntry>;
  counted: readonly CountedReplica[] | undefined;
}

interface StateIndex {
  readonly models: ReadonlyMap<string, ModelIndex>;
  readonly replicasByTarget: ReadonlyMap<common.TargetAddress, readonly ReplicaEntry[]>;
  /** Replicas with an unsettled order. */
  readonly replicasWithOrders: ReadonlySet<ReplicaId>;
  readonly bytesByPartner: ReadonlyMap<common.PartnerName, number>;
  readonly cellBytes: number;
}

// The rules evaluate every model and target several times. Without indexes, one pass over 400 targets took about 50 ms.
const indexes = new WeakMap<ControlState, StateIndex>();

/** Replicas of a model version that are loading, ready, unloading, or may still be loaded by an unsettled order. */
export function replicasOf(state: ControlState, version: ModelVersion): readonly CountedReplica[] {
  const model = indexOf(state).models.get(keyOf(version));
  if (model === undefined) {
    return [];
  }
  model.counted ??= findReplicas({ ...state, replicas: model.replicas, orders: model.orders }, version);
  return model.counted;
}

/** Replicas that count towards `maximumReplicas`. */
export function replicasTowardMaximum(state: ControlState, version: ModelVersion): readonly CountedReplica[] {
  const model = indexOf(state).models.get(keyOf(version));
  return model === undefined
    ? []
    : findReplicasTowardMaximum({ ...state, replicas: model.replicas, orders: model.orders }, version);
}

/** Replicas at a target, in any state. */
export function replicasAt(state: ControlState, target: common.TargetAddress): readonly ReplicaEntry[] {
  return indexOf(state).replicasByTarget.get(target) ?? [];
}

/** Whether an order for the replica or one of its adapters is unsettled. */
export function hasOrder(state: ControlState, replica: ReplicaId): boolean {
  return indexOf(state).replicasWithOrders.has(replica);
}

/** Accelerator memory used by the replicas of a partner, without those that are being unloaded. */
export function partnerBytes(state: ControlState, partner: common.PartnerName): number {
  return indexOf(state).bytesByPartner.get(partner) ?? 0;
}

/** Accelerator memory of all targets. */
export function cellBytes(state: ControlState): number {
  return indexOf(state).cellBytes;
}

function indexOf(state: ControlState): StateIndex {
  let index = indexes.get(state);
  if (index === undefined) {
    index = buildIndex(state);
    indexes.set(state, index);
  }
  return index;
}

function buildIndex(state: ControlState): StateIndex {
  const models = new Map<string, ModelIndex>();
  const replicasByTarget = new Map<common.TargetAddress, ReplicaEntry[]>();
  const bytesByPartner = new Map<common.PartnerName, number>();
  for (const replica of state.replicas.values()) {
    modelIndex(models, replica).replicas.set(replica.replica, replica);
    const atTarget = replicasByTarget.get(replica.target) ?? [];
    atTarget.push(replica);
    replicasByTarget.set(replica.target, atTarget);
    const bytes = replica.state === 'unloading' ? 0 : sumBytes(replica.bytes);
    bytesByPartner.set(replica.partner, (bytesByPartner.get(replica.partner) ?? 0) + bytes);
  }
  for (const order of state.orders.values()) {
    modelIndex(models, order).orders.set(order.order, order);
  }
  const allTargets = [...state.vms.values()].flatMap((vm) => vm.targets);
  return {
    models,
    replicasByTarget,
    replicasWithOrders: new Set([...state.orders.values()].map((order) => order.replica)),
    bytesByPartner,
    cellBytes: allTargets.reduce((sum, target) => sum + sumBytes(target.acceleratorBytes), 0),
  };
}

function modelIndex(models: Map<string, ModelIndex>, version: ModelVersion): ModelIndex {
  const key = keyOf(version);
  let model = models.get(key);
  if (model === undefined) {
    model = { replicas: new Map(), orders: new Map(), counted: undefined };
    models.set(key, model);
  }
  return model;
}

function keyOf(version: ModelVersion): string {
  return `${version.partner}/${version.model}@${version.version}`;
}
