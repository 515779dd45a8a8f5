/** Queries of the replayed state and of an engine's index for one target. */
import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { isDue } from './OrderSender.js';
import type { EngineModel } from './Types.js';

/** Unsettled orders to a target. */
export function ordersAt(state: decisions.ControlState, target: common.TargetAddress): readonly decisions.OrderEntry[] {
  return [...state.orders.values()].filter((order) => order.target === target);
}

/** Replicas at a target, in any state. */
export function replicasAt(
  state: decisions.ControlState,
  target: common.TargetAddress,
): readonly decisions.ReplicaEntry[] {
  return [...state.replicas.values()].filter((replica) => replica.target === target);
}

/** Whether an order for the replica itself, and not for an adapter, is unsettled. */
export function hasOrder(state: decisions.ControlState, replica: decisions.ReplicaId): boolean {
  return [...state.orders.values()].some((order) => order.replica === replica && order.adapter === undefined);
}

/** Whether any sender may send the order under an older claim. */
export function hasOlderSender(order: decisions.OrderEntry, claim: decisions.ClaimOffset): boolean {
  return [...order.senders.values()].some((senderClaim) => senderClaim < claim);
}

/** Whether a new owner must adopt the order, because it is still due. */
export function isAdoptable(state: decisions.ControlState, order: decisions.OrderEntry): boolean {
  return isDue(state, order);
}

/** Index entry of a model version. */
export function findModel(index: readonly EngineModel[], version: decisions.ModelVersion): EngineModel | undefined {
  const name = `${version.partner}/${version.model}`;
  return index.find((model) => model.name === name && model.version === version.version);
}

/** Whether a replica or an unsettled order accounts for a model at an engine. */
export function isAccountedFor(
  state: decisions.ControlState,
  target: common.TargetAddress,
  model: EngineModel,
): boolean {
  return [...replicasAt(state, target), ...ordersAt(state, target)].some(
    (entry) => `${entry.partner}/${entry.model}` === model.name && entry.version === model.version,
  );
}
