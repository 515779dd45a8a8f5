/** Replay of decisions to load and unload replicas, and of the confirmations of engines. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { modelSettings } from '../configuration/settings.js';
import { replicaLifecycle } from '../lifecycle/Lifecycle.js';
import { findTarget, freeBytes } from '../queries/memory.js';
import { isSameModel, isSameVersion, loadsInProgress, replicasOf, replicasTowardMaximum } from '../queries/replicas.js';
import type * as types from '../Types.js';
import { checkClaim, checkOwner } from './ownership.js';
import { accept, reject, rejection, type TypedRecord } from './verdicts.js';

/** Applies the owner's decision to load a model version on a target. */
export function replayLoadDecided(
  state: types.ControlState,
  record: TypedRecord<types.LoadDecided>,
): types.ReplayResult {
  const { body } = record;
  const rejected =
    checkClaim(state, record.author, body.cell, body.claim) ??
    checkLoadTarget(state, body) ??
    checkReplicaLimits(state, body) ??
    checkUnsettledOrders(state, body) ??
    checkMemory(state, body.target, body.bytes);
  const vm = findTarget(state, body.target)?.vm.vm;
  if (rejected !== undefined || vm === undefined) {
    return { state, verdict: rejected ?? rejection('targetUnknown', `target ${body.target} is not listed`) };
  }
  const { partner, model, version, target, bytes, urgency } = body;
  const identity = { partner, model, version, replica: record.offset, target };
  const replica: types.ReplicaEntry = { ...identity, vm, bytes, state: 'loading', urgency, adapters: new Map() };
  const senders = new Map([[record.author, body.claim]]);
  const order: types.OrderEntry = { ...identity, order: record.offset, action: 'load', bytes, senders, urgency };
  return accept(state, {
    replicas: withEntry(state.replicas, record.offset, replica),
    orders: withEntry(state.orders, record.offset, order),
  });
}

/** Applies the owner's decision to unload a replica. */
export function replayUnloadDecided(
  state: types.ControlState,
  record: TypedRecord<types.UnloadDecided>,
): types.ReplayResult {
  const { body } = record;
  const rejected = checkClaim(state, record.author, body.cell, body.claim);
  const replica = state.replicas.get(body.replica);
  if (rejected !== undefined || replica === undefined) {
    return { state, verdict: rejected ?? rejection('unknownReference', `replica ${body.replica} does not exist`) };
  }
  const transitioned = transitionReplica(state, replica, 'unloadDecided');
  if (transitioned.verdict.kind !== 'accepted') {
    return transitioned;
  }
  const { partner, model, version, target } = replica;
  const order: types.OrderEntry = {
    ...{ partner, model, version, target, order: record.offset, action: 'unload', replica: replica.replica },
    bytes: replica.bytes.map(() => 0),
    senders: new Map([[record.author, body.claim]]),
  };
  return accept(transitioned.state, { orders: withEntry(state.orders, record.offset, order) });
}

/** Applies the owner's report of the state that the engine confirmed for a replica. */
export function replayReplicaReport(
  state: types.ControlState,
  record: TypedRecord<types.ReplicaReady | types.ReplicaFailed | types.ReplicaUnloaded>,
): types.ReplayResult {
  const rejected = checkOwner(state, record.author);
  const replica = state.replicas.get(record.body.replica);
  if (rejected !== undefined || replica === undefined) {
    return {
      state,
      verdict: rejected ?? rejection('unknownReference', `replica ${record.body.replica} does not exist`),
    };
  }
  const outdated = record.body.kind === 'replicaReady' ? undefined : checkReadAfter(record.body, replica.lastSettledAt);
  return outdated === undefined ? transitionReplica(state, replica, record.body.kind) : { state, verdict: outdated };
}

/** Rejects a report if a sender of the load order was settled after the engine was queried. */
export function checkReadAfter(
  report: types.EngineStatusReport,
  lastSettledAt: types.Offset = -1,
): types.Verdict | undefined {
  return report.readAfter === undefined || report.readAfter >= lastSettledAt
    ? undefined
    : rejection('wrongState', `a sender was settled at ${lastSettledAt}, after the engine was read`, lastSettledAt);
}

/** Rejects a load that does not fit into the free memory of its target. */
export function checkMemory(
  state: types.ControlState,
  target: string,
  bytes: types.AcceleratorBytes,
): types.Verdict | undefined {
  const free = freeBytes(state, target);
  if (bytes.length !== free.length) {
    return rejection('memory', `${bytes.length} byte counts for ${free.length} accelerators of ${target}`);
  }
  const insufficient = free.findIndex((available, index) => (bytes[index] ?? 0) > available);
  return insufficient < 0
    ? undefined
    : rejection('memory', `accelerator ${insufficient} of ${target} has ${free[insufficient] ?? 0} bytes free`);
}

/** Rejects a target that is not a listed engine, or whose VM is leaving. */
export function checkLiveEngine(state: types.ControlState, address: string): types.Verdict | undefined {
  const listed = findTarget(state, address);
  if (listed?.target.role !== 'engine') {
    return rejection('targetUnknown', `${address} is not a listed engine`);
  }
  return listed.vm.state === 'live' ? undefined : rejection('targetLeaving', `VM ${listed.vm.vm} is leaving`);
}

function transitionReplica(state: types.ControlState, replica: types.ReplicaEntry, event: string): types.ReplayResult {
  const nextState = replicaLifecycle.next(replica.state, event);
  if (nextState === undefined) {
    return reject(state, 'wrongState', `${event} does not apply to a ${replica.state} replica`);
  }
  const replicas =
    nextState === 'absent'
      ? withoutEntry(state.replicas, replica.replica)
      : withEntry(state.replicas, replica.replica, { ...replica, state: nextState as types.ReplicaState });
  return accept(state, { replicas });
}

function checkLoadTarget(state: types.ControlState, body: types.LoadDecided): types.Verdict | undefined {
  const rejected = checkLiveEngine(state, body.target);
  if (rejected !== undefined) {
    return rejected;
  }
  for (const replica of state.replicas.values()) {
    // An engine holds a model version once, so a second replica would be counted but never loaded.
    if (replica.target === body.target && isSameVersion(replica, body)) {
      return rejection('wrongState', `target ${body.target} has replica ${replica.replica} of this version`);
    }
  }
  return undefined;
}

function checkReplicaLimits(state: types.ControlState, body: types.LoadDecided): types.Verdict | undefined {
  const settings = modelSettings(state, body.partner, body.model);
  if (settings === undefined) {
    return rejection('unknownReference', `model ${body.partner}/${body.model} is not configured`);
  }
  const expected = replicasOf(state, body).length + 1;
  if (body.ordinal !== expected) {
    return rejection('wrongOrdinal', `ordinal ${body.ordinal}, but the next one is ${expected}`);
  }
  const counted = replicasTowardMaximum(state, body).length;
  if (counted >= settings.maximumReplicas) {
    return rejection('maximumReplicas', `${counted} replicas take all of maximumReplicas ${settings.maximumReplicas}`);
  }
  const { maximumConcurrentLoads } = state.limits;
  return loadsInProgress(state) < maximumConcurrentLoads
    ? undefined
    : rejection('concurrentLoads', `${maximumConcurrentLoads} loads are in progress`);
}

function checkUnsettledOrders(state: types.ControlState, body: types.LoadDecided): types.Verdict | undefined {
  for (const order of state.orders.values()) {
    const isReplicaOrder = order.action === 'load' || order.action === 'unload';
    if (isReplicaOrder && order.target === body.target && isSameModel(order, body)) {
      return rejection('unsettledOrder', `order ${order.order} on ${body.target} is unsettled`, order.order);
    }
  }
  return undefined;
}
