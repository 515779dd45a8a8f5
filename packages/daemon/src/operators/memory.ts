import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** Free memory of each accelerator of a target, bytes. */
export function freeBytes(state: decisions.ControlState, target: decisions.TargetDescription): readonly number[] {
  const replicas = replicasOn(state, target.address);
  return target.acceleratorBytes.map((size, index) => {
    const used = replicas.flatMap((replica) => [replica.bytes, ...[...replica.adapters.values()].map((a) => a.bytes)]);
    return used.reduce((free, bytes) => free - (bytes[index] ?? 0), size);
  });
}

/** Replicas on a target. */
export function replicasOn(
  state: decisions.ControlState,
  address: common.TargetAddress,
): readonly decisions.ReplicaEntry[] {
  return [...state.replicas.values()].filter((replica) => replica.target === address);
}
