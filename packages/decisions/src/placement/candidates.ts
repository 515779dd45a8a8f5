/** Lists the engines that may get a load. */
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

/** Targets that hold the model already, in any version, or for which an order of it is unsettled. */
export function targetsHolding(view: PlacementView, model: ModelVersion): ReadonlySet<string> {
  const targets = new Set<string>();
  for (const replica of view.state.replicas.values()) {
    if (replica.partner === model.partner && replica.model === model.model) {
      targets.add(replica.target);
    }
  }
  for (const order of view.state.orders.values()) {
    if (order.partner === model.partner && order.model === model.model) {
      targets.add(order.target);
    }
  }
  return targets;
}

/** Failure domains that hold a replica of the model. */
export function domainsHolding(view: PlacementView, model: ModelVersion): ReadonlySet<string> {
  const domains = new Set<string>();
  for (const replica of view.state.replicas.values()) {
    if (replica.partner === model.partner && replica.model === model.model) {
      const domain = view.state.vms.get(replica.vm)?.failureDomain;
      if (domain !== undefined) {
        domains.add(domain);
      }
    }
  }
  return domains;
}
