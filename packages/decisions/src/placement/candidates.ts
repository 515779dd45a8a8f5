/** Lists the engines that a replica may be loaded on. */
import { isSameModel, isSameVersion } from '../queries/replicas.js';
import type { CandidateTarget, PlacementView } from './Types.js';
import type { ModelVersion } from '../Types.js';

/** Engines on live VMs. */
export function liveEngines(view: PlacementView): readonly CandidateTarget[] {
  const engines: CandidateTarget[] = [];
  for (const entry of view.state.vms.values()) {
    if (entry.state !== 'live' || view.leavingVms.has(entry.vm)) {
      continue;
    }
    for (const target of entry.targets) {
      if (target.role === 'engine') {
        engines.push({
          address: target.address,
          vm: entry.vm,
          failureDomain: entry.failureDomain,
          acceleratorBytes: target.acceleratorBytes,
        });
      }
    }
  }
  return engines;
}

/**
 * Targets that the model version must not be loaded on: they hold a replica of it, or have an unsettled order for any
 * version of the model. A replica of another version is no obstacle, because a target holds both during a version swap.
 */
export function excludedTargets(
  view: PlacementView,
  version: ModelVersion,
): ReadonlyMap<string, 'replica' | 'unsettledOrder'> {
  const targets = new Map<string, 'replica' | 'unsettledOrder'>();
  for (const order of view.state.orders.values()) {
    if (order.adapter === undefined && isSameModel(order, version)) {
      targets.set(order.target, 'unsettledOrder');
    }
  }
  for (const replica of view.state.replicas.values()) {
    if (isSameVersion(replica, version)) {
      targets.set(replica.target, 'replica');
    }
  }
  return targets;
}

/** Failure domains that hold a replica of the model version. */
export function domainsWithReplica(view: PlacementView, model: ModelVersion): ReadonlySet<string> {
  const domains = new Set<string>();
  for (const replica of view.state.replicas.values()) {
    if (isSameVersion(replica, model)) {
      const domain = view.state.vms.get(replica.vm)?.failureDomain;
      if (domain !== undefined) {
        domains.add(domain);
      }
    }
  }
  return domains;
}
