/** Selects the replicas and service targets that may get new work according to the replayed state. */
import type * as common from '@jayhaven/common';
import type { ControlState, ModelVersion, ReplicaEntry } from '../Types.js';

/** Ready replicas on live VMs, by `modelVersionKey`. */
export type ReadyReplicas = ReadonlyMap<string, readonly ReplicaEntry[]>;

/** Map key of a model version. */
export function modelVersionKey(version: ModelVersion): string {
  return `${version.partner}/${version.model}@${version.version}`;
}

/** Groups all replicas that may get new work. Replicas on VMs that are leaving or gone are left out. */
export function indexReadyReplicas(state: ControlState): ReadyReplicas {
  const index = new Map<string, ReplicaEntry[]>();
  for (const replica of state.replicas.values()) {
    if (replica.state !== 'ready' || state.vms.get(replica.vm)?.state !== 'live') {
      continue;
    }
    const key = modelVersionKey(replica);
    const group = index.get(key);
    if (group) {
      group.push(replica);
    } else {
      index.set(key, [replica]);
    }
  }
  return index;
}

/** Whether the replica can serve the adapter; any replica serves the model without an adapter. */
export function servesAdapter(replica: ReplicaEntry, adapter: string | undefined): boolean {
  return adapter === undefined || replica.adapters.get(adapter)?.state === 'ready';
}

/** Targets of a plain service on live VMs. */
export function serviceTargets(
  state: ControlState,
  service: string,
  isLeaving: (vm: common.VmName) => boolean,
): common.TargetAddress[] {
  const targets: common.TargetAddress[] = [];
  for (const vm of state.vms.values()) {
    if (vm.state !== 'live' || isLeaving(vm.vm)) {
      continue;
    }
    for (const target of vm.targets) {
      if (target.role === 'service' && target.service === service) {
        targets.push(target.address);
      }
    }
  }
  return targets;
}
