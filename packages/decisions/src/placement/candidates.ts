/** Lists the engines that may get a load. */
import { isSameModel, isSameVersion } from '../queries/replicas.js';
import type { CandidateTarget, PlacementView } from './Types.js';
import type { ModelVersion } from '../Types.js';

/** All engines of live VMs. */
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
 * Targets that may not get the model version: they hold it, or an order about the model in any version is unsettled
 * there. Another version of the model does not matter, as both are held during a swap.
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

/** Failure domains that hold a replica of the model. */
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
