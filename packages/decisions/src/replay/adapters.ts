/** Replay of adapter decisions and of the engine's confirmations. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { replicaLifecycle } from '../lifecycle/Lifecycle.js';
import { adaptersInTransit, isSameModel } from '../queries/replicas.js';
import type * as types from '../Types.js';
import { checkMemory, checkReading, checkTargetVm } from './loads.js';
import { checkClaim, checkReporter } from './ownership.js';
import { accept, reject, rejection, type Step } from './verdicts.js';

/** The owner decides to load an adapter into a ready replica. */
export function replayAdapterLoadDecided(
  state: types.ControlState,
  step: Step<types.AdapterLoadDecided>,
): types.ReplayResult {
  const { body } = step;
  const refusal = checkClaim(state, step.author, body.cell, body.claim);
  const replica = state.replicas.get(body.replica);
  if (refusal !== undefined || replica === undefined) {
    return { state, verdict: refusal ?? rejection('unknownReference', `replica ${body.replica} does not exist`) };
  }
  const unfit =
    checkTargetVm(state, replica.target) ??
    checkReplica(replica, body.adapter) ??
    checkAdapterOrders(state, replica, body.adapter) ??
    checkTransit(state) ??
    checkMemory(state, replica.target, body.bytes);
  if (unfit !== undefined) {
    return { state, verdict: unfit };
  }
  const { adapter, bytes } = body;
  const entry: types.AdapterEntry = { adapter, order: step.offset, bytes, state: 'loading' };
  const order = adapterOrder(replica, step, { action: 'adapterLoad', adapter, bytes });
  return accept(state, {
    replicas: withAdapter(state, replica, entry),
    orders: withEntry(state.orders, step.offset, order),
  });
}

/** The owner reports that the engine has the adapter. */
export function replayAdapterReady(state: types.ControlState, step: Step<types.AdapterReady>): types.ReplayResult {
  const refusal = checkReporter(state, step.author);
  if (refusal !== undefined) {
    return { state, verdict: refusal };
  }
  for (const replica of state.replicas.values()) {
    for (const adapter of replica.adapters.values()) {
      if (adapter.order === step.body.order) {
        return moveAdapter(state, replica, adapter, 'replicaReady');
      }
    }
  }
  return reject(state, 'unknownReference', `no replica has an adapter of order ${step.body.order}`);
}

/** The owner decides to unload an adapter. */
export function replayAdapterUnloadDecided(
  state: types.ControlState,
  step: Step<types.AdapterUnloadDecided>,
): types.ReplayResult {
  const { body } = step;
  const refusal = checkClaim(state, step.author, body.cell, body.claim);
  const replica = state.replicas.get(body.replica);
  const adapter = replica?.adapters.get(body.adapter);
  if (refusal !== undefined || replica === undefined || adapter === undefined) {
    const unknown = rejection('unknownReference', `replica ${body.replica} has no adapter ${body.adapter}`);
    return { state, verdict: refusal ?? unknown };
  }
  const moved = moveAdapter(state, replica, adapter, 'unloadDecided');
  if (moved.verdict.kind !== 'accepted') {
    return moved;
  }
  const bytes = adapter.bytes.map(() => 0);
  const order = adapterOrder(replica, step, { action: 'adapterUnload', adapter: body.adapter, bytes });
  return accept(moved.state, { orders: withEntry(state.orders, step.offset, order) });
}

/** The owner reports that the engine does not have the adapter. */
export function replayAdapterUnloaded(
  state: types.ControlState,
  step: Step<types.AdapterUnloaded>,
): types.ReplayResult {
  const refusal = checkReporter(state, step.author);
  const replica = state.replicas.get(step.body.replica);
  const adapter = replica?.adapters.get(step.body.adapter);
  if (refusal !== undefined || replica === undefined || adapter === undefined) {
    const unknown = rejection('unknownReference', `replica ${step.body.replica} has no adapter ${step.body.adapter}`);
    return { state, verdict: refusal ?? unknown };
  }
  const outdated = checkReading(step.body, adapter.lastSettledAt);
  if (outdated !== undefined) {
    return { state, verdict: outdated };
  }
  return moveAdapter(state, replica, adapter, adapter.state === 'unloading' ? 'replicaUnloaded' : 'replicaFailed');
}

function moveAdapter(
  state: types.ControlState,
  replica: types.ReplicaEntry,
  adapter: types.AdapterEntry,
  event: string,
): types.ReplayResult {
  const following = replicaLifecycle.next(adapter.state, event);
  if (following === undefined) {
    return reject(state, 'wrongState', `${event} does not apply to a ${adapter.state} adapter`);
  }
  if (following === 'absent') {
    const adapters = withoutEntry(replica.adapters, adapter.adapter);
    return accept(state, { replicas: withEntry(state.replicas, replica.replica, { ...replica, adapters }) });
  }
  const moved = { ...adapter, state: following as types.ReplicaState };
  return accept(state, { replicas: withAdapter(state, replica, moved) });
}

function withAdapter(
  state: types.ControlState,
  replica: types.ReplicaEntry,
  entry: types.AdapterEntry,
): types.ControlState['replicas'] {
  const adapters = withEntry(replica.adapters, entry.adapter, entry);
  return withEntry(state.replicas, replica.replica, { ...replica, adapters });
}

function adapterOrder(
  replica: types.ReplicaEntry,
  step: Step<types.AdapterLoadDecided | types.AdapterUnloadDecided>,
  fields: Pick<types.OrderEntry, 'action' | 'bytes'> & { readonly adapter: string },
): types.OrderEntry {
  const { partner, model, version, target, replica: replicaId } = replica;
  const senders = new Map([[step.author, step.body.claim]]);
  return { partner, model, version, target, replica: replicaId, order: step.offset, senders, ...fields };
}

function checkReplica(replica: types.ReplicaEntry, adapter: string): types.Verdict | undefined {
  if (replica.state !== 'ready') {
    return rejection('wrongState', `replica ${replica.replica} is ${replica.state}`);
  }
  const entry = replica.adapters.get(adapter);
  return entry === undefined ? undefined : rejection('wrongState', `adapter ${adapter} is already ${entry.state}`);
}

function checkAdapterOrders(
  state: types.ControlState,
  replica: types.ReplicaEntry,
  adapter: string,
): types.Verdict | undefined {
  for (const order of state.orders.values()) {
    if (order.adapter === adapter && order.target === replica.target && isSameModel(order, replica)) {
      return rejection('unsettledOrder', `order ${order.order} of adapter ${adapter} is unsettled`, order.order);
    }
  }
  return undefined;
}

function checkTransit(state: types.ControlState): types.Verdict | undefined {
  const { maximumAdaptersInTransit } = state.limits;
  return adaptersInTransit(state) < maximumAdaptersInTransit
    ? undefined
    : rejection('adaptersInTransit', `${maximumAdaptersInTransit} adapters are in transit`);
}
