/** Converts the replayed state to the JSON that operators read. Maps become lists; times become ISO 8601. */
import * as decisions from '@jayhaven/decisions';
import type { ClusterResponses, DaemonStatus } from './Types.js';

/** Formats a wall-clock time. */
export function isoTime(wallMs: number): string {
  return new Date(wallMs).toISOString();
}

/** One configuration key with its version, author, time and reason. */
export function viewConfigurationEntry(entry: decisions.ConfigurationEntry): Readonly<Record<string, unknown>> {
  const { key, value, version, partner, operator, reason, clock } = entry;
  return { key, value, version, partner, operator, when: isoTime(clock.wallMs), reason };
}

/** One entry of the history. */
export function viewHistoryEntry(entry: decisions.EditHistoryEntry): Readonly<Record<string, unknown>> {
  const { offset, key, value, partner, operator, reason, clock, rejectedBy, pending } = entry;
  const state = rejectedBy !== undefined ? 'rejected' : pending === true ? 'pending' : 'accepted';
  const rule = rejectedBy === undefined ? {} : { rejectedBy };
  return { version: offset, key, value, partner, operator, when: isoTime(clock.wallMs), reason, state, ...rule };
}

/** Pending edits of shared keys with the partners whose approval is missing. */
export function viewPendingEdits(state: decisions.ControlState): readonly Readonly<Record<string, unknown>>[] {
  return [...state.pendingEdits.values()].map((edit) => ({
    ...viewConfigurationEntry(edit),
    approvedBy: edit.approvedBy,
    missing: state.limits.partners.filter((name) => name !== edit.partner && !edit.approvedBy.includes(name)),
  }));
}

/** The offset that each daemon has applied, when, and whether it lags; includes unresponsive daemons. */
export function viewAppliedOffsets(
  cluster: ClusterResponses<DaemonStatus>,
  version?: decisions.Offset,
): readonly Readonly<Record<string, unknown>>[] {
  const responding = cluster.responses.map((status) => {
    const inForceSince = version === undefined ? undefined : status.versionTimes[String(version)];
    return {
      daemon: status.daemon,
      incarnation: status.incarnation,
      answered: true,
      appliedOffset: status.lag.appliedOffset,
      since: isoTime(status.appliedAtMs),
      lagging: status.lag.lagging,
      source: status.lag.source,
      ...(version === undefined ? {} : { inForce: inForceSince !== undefined }),
      ...(inForceSince === undefined ? {} : { inForceSince: isoTime(inForceSince) }),
    };
  });
  const unresponsive = cluster.unresponsive.map((member) => ({ ...member, answered: false }));
  return [...responding, ...unresponsive];
}

/** Every target with its memory, replicas, adapters and unsettled orders. */
export function viewTargets(state: decisions.ControlState): readonly Readonly<Record<string, unknown>>[] {
  return [...state.vms.values()].flatMap((vm) =>
    vm.targets.map((target) => ({
      target: target.address,
      vm: vm.vm,
      vmState: vm.state,
      failureDomain: vm.failureDomain,
      role: target.role,
      ...(target.service === undefined ? {} : { service: target.service }),
      fencing: target.fencing,
      fence: state.fences.get(target.address) ?? null,
      acceleratorBytes: target.acceleratorBytes,
      freeBytes: decisions.freeBytes(state, target.address),
      replicas: [...state.replicas.values()].filter((entry) => entry.target === target.address).map(viewReplica),
      orders: [...state.orders.values()].filter((order) => order.target === target.address).map(viewOrder),
    })),
  );
}

function viewReplica(replica: decisions.ReplicaEntry): Readonly<Record<string, unknown>> {
  const { adapters, ...rest } = replica;
  return { ...rest, adapters: [...adapters.values()] };
}

function viewOrder(order: decisions.OrderEntry): Readonly<Record<string, unknown>> {
  const { senders, ...rest } = order;
  return { ...rest, senders: [...senders].map(([incarnation, claim]) => ({ incarnation, claim })) };
}

/** Every VM with the addresses of its targets. */
export function viewVms(state: decisions.ControlState): readonly Readonly<Record<string, unknown>>[] {
  return [...state.vms.values()].map((vm) => ({
    vm: vm.vm,
    failureDomain: vm.failureDomain,
    state: vm.state,
    targets: vm.targets.map(({ address, role, service }) => ({ address, role, ...(service ? { service } : {}) })),
  }));
}

/** Every cell with its owner as replayed here, and the daemons that report to be its owner. */
export function viewOwners(
  state: decisions.ControlState,
  cluster: ClusterResponses<DaemonStatus>,
): readonly Readonly<Record<string, unknown>>[] {
  return [...state.cells.values()].map((cell) => {
    const owner = cell.owner === null ? undefined : state.daemons.get(cell.owner);
    return {
      cell: cell.cell,
      owner: cell.owner,
      daemon: owner?.daemon ?? null,
      claim: cell.claim,
      renewedAt: cell.renewedAt,
      believers: cluster.responses
        .filter((status) => status.owner.cell === cell.cell && status.owner.isOwner)
        .map((status) => status.incarnation),
    };
  });
}
