/** What the replayed state and an engine's index say about one target. */
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

/** Whether an order about the replica itself is unsettled. */
export function hasOrder(state: decisions.ControlState, replica: decisions.ReplicaId): boolean {
  return [...state.orders.values()].some((order) => order.replica === replica && order.adapter === undefined);
}

/** Whether someone may send the order under an older claim. */
export function hasOlderSender(order: decisions.OrderEntry, claim: decisions.ClaimOffset): boolean {
  return [...order.senders.values()].some((senderClaim) => senderClaim < claim);
}

/** Whether a new owner must take the order over, because its replica still needs it. */
export function isAdoptable(state: decisions.ControlState, order: decisions.OrderEntry): boolean {
  return isDue(state, order);
}

/** Entry of the index for a model version. */
export function findModel(index: readonly EngineModel[], version: decisions.ModelVersion): EngineModel | undefined {
  const name = `${version.partner}/${version.model}`;
  return index.find((model) => model.name === name && model.version === version.version);
}

/** Whether a replica or an unsettled order explains a model at an engine. */
export function isAccountedFor(
  state: decisions.ControlState,
  target: common.TargetAddress,
  model: EngineModel,
): boolean {
  return [...replicasAt(state, target), ...ordersAt(state, target)].some(
    (entry) => `${entry.partner}/${entry.model}` === model.name && entry.version === model.version,
  );
}
