/** Replay of load and unload decisions and of the engine's confirmations. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { modelSettings } from '../configuration/settings.js';
import { replicaLifecycle } from '../lifecycle/Lifecycle.js';
import { findTarget, freeBytes } from '../queries/memory.js';
import { isSameModel, isSameVersion, loadsInProgress, replicasOf, slotReplicas } from '../queries/replicas.js';
import type * as types from '../Types.js';
import { checkClaim, checkReporter } from './ownership.js';
import { accept, reject, rejection, type Step } from './verdicts.js';

/** The owner decides to load a model version on a target. */
export function replayLoadDecided(state: types.ControlState, step: Step<types.LoadDecided>): types.ReplayResult {
  const { body } = step;
  const refusal =
    checkClaim(state, step.author, body.cell, body.claim) ??
    checkTarget(state, body) ??
    checkCounts(state, body) ??
    checkTargetOrders(state, body) ??
    checkMemory(state, body.target, body.bytes);
  const vm = findTarget(state, body.target)?.vm.vm;
  if (refusal !== undefined || vm === undefined) {
    return { state, verdict: refusal ?? rejection('targetUnknown', `target ${body.target} is not listed`) };
  }
  const { partner, model, version, target, bytes, urgency } = body;
  const names = { partner, model, version, replica: step.offset, target };
  const replica: types.ReplicaEntry = { ...names, vm, bytes, state: 'loading', urgency, adapters: new Map() };
  const senders = new Map([[step.author, body.claim]]);
  const order: types.OrderEntry = { ...names, order: step.offset, action: 'load', bytes, senders, urgency };
  return accept(state, {
    replicas: withEntry(state.replicas, step.offset, replica),
    orders: withEntry(state.orders, step.offset, order),
  });
}

/** The owner decides to unload a replica. */
export function replayUnloadDecided(state: types.ControlState, step: Step<types.UnloadDecided>): types.ReplayResult {
  const { body } = step;
  const refusal = checkClaim(state, step.author, body.cell, body.claim);
  const replica = state.replicas.get(body.replica);
  if (refusal !== undefined || replica === undefined) {
    return { state, verdict: refusal ?? rejection('unknownReference', `replica ${body.replica} does not exist`) };
  }
  const moved = moveReplica(state, replica, 'unloadDecided');
  if (moved.verdict.kind !== 'accepted') {
    return moved;
  }
  const { partner, model, version, target } = replica;
  const order: types.OrderEntry = {
    ...{ partner, model, version, target, order: step.offset, action: 'unload', replica: replica.replica },
    bytes: replica.bytes.map(() => 0),
    senders: new Map([[step.author, body.claim]]),
  };
  return accept(moved.state, { orders: withEntry(state.orders, step.offset, order) });
}

/** The owner reports what the engine confirmed about a replica. */
export function replayReplicaReport(
  state: types.ControlState,
  step: Step<types.ReplicaReady | types.ReplicaFailed | types.ReplicaUnloaded>,
): types.ReplayResult {
  const refusal = checkReporter(state, step.author);
  const replica = state.replicas.get(step.body.replica);
  if (refusal !== undefined || replica === undefined) {
    return { state, verdict: refusal ?? rejection('unknownReference', `replica ${step.body.replica} does not exist`) };
  }
  const outdated = step.body.kind === 'replicaReady' ? undefined : checkReading(step.body, replica.lastSettledAt);
  return outdated === undefined ? moveReplica(state, replica, step.body.kind) : { state, verdict: outdated };
}

/** Verdict against a report that was read from the engine before a sender of the load order was settled. */
export function checkReading(report: types.EngineReading, lastSettledAt: types.Offset = -1): types.Verdict | undefined {
  return report.readAfter === undefined || report.readAfter >= lastSettledAt
    ? undefined
    : rejection('wrongState', `a sender was settled at ${lastSettledAt}, after the engine was read`, lastSettledAt);
}

/** Verdict against an order that does not fit into the free memory of its target. */
export function checkMemory(
  state: types.ControlState,
  target: string,
  bytes: types.AcceleratorBytes,
): types.Verdict | undefined {
  const free = freeBytes(state, target);
  if (bytes.length !== free.length) {
    return rejection('memory', `${bytes.length} byte counts for ${free.length} accelerators of ${target}`);
  }
  const short = free.findIndex((available, index) => (bytes[index] ?? 0) > available);
  return short < 0
    ? undefined
    : rejection('memory', `accelerator ${short} of ${target} has ${free[short] ?? 0} bytes free`);
}

/** Verdict against a target that takes no new work. */
export function checkTargetVm(state: types.ControlState, address: string): types.Verdict | undefined {
  const known = findTarget(state, address);
  if (known?.target.role !== 'engine') {
    return rejection('targetUnknown', `${address} is not a listed engine`);
  }
  return known.vm.state === 'live' ? undefined : rejection('targetLeaving', `VM ${known.vm.vm} is leaving`);
}

function moveReplica(state: types.ControlState, replica: types.ReplicaEntry, event: string): types.ReplayResult {
  const following = replicaLifecycle.next(replica.state, event);
  if (following === undefined) {
    return reject(state, 'wrongState', `${event} does not apply to a ${replica.state} replica`);
  }
  const replicas =
    following === 'absent'
      ? withoutEntry(state.replicas, replica.replica)
      : withEntry(state.replicas, replica.replica, { ...replica, state: following as types.ReplicaState });
  return accept(state, { replicas });
}

function checkTarget(state: types.ControlState, body: types.LoadDecided): types.Verdict | undefined {
  const refusal = checkTargetVm(state, body.target);
  if (refusal !== undefined) {
    return refusal;
  }
  for (const replica of state.replicas.values()) {
    // An engine holds a model version once, so a second replica would be counted but never loaded.
    if (replica.target === body.target && isSameVersion(replica, body)) {
      return rejection('wrongState', `target ${body.target} has replica ${replica.replica} of this version`);
    }
  }
  return undefined;
}

function checkCounts(state: types.ControlState, body: types.LoadDecided): types.Verdict | undefined {
  const settings = modelSettings(state, body.partner, body.model);
  if (settings === undefined) {
    return rejection('unknownReference', `model ${body.partner}/${body.model} is not configured`);
  }
  const expected = replicasOf(state, body).length + 1;
  if (body.ordinal !== expected) {
    return rejection('wrongOrdinal', `ordinal ${body.ordinal}, but the next one is ${expected}`);
  }
  const slots = slotReplicas(state, body).length;
  if (slots >= settings.maximumReplicas) {
    return rejection('maximumReplicas', `${slots} replicas take all of maximumReplicas ${settings.maximumReplicas}`);
  }
  const { maximumConcurrentLoads } = state.limits;
  return loadsInProgress(state) < maximumConcurrentLoads
    ? undefined
    : rejection('concurrentLoads', `${maximumConcurrentLoads} loads are in progress`);
}

function checkTargetOrders(state: types.ControlState, body: types.LoadDecided): types.Verdict | undefined {
  for (const order of state.orders.values()) {
    const isReplicaOrder = order.action === 'load' || order.action === 'unload';
    if (isReplicaOrder && order.target === body.target && isSameModel(order, body)) {
      return rejection('unsettledOrder', `order ${order.order} on ${body.target} is unsettled`, order.order);
    }
  }
  return undefined;
}
