/** Replay of decisions to load and unload adapters, and of the confirmations of engines. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { replicaLifecycle } from '../lifecycle/Lifecycle.js';
import { adaptersInTransit, isSameModel } from '../queries/replicas.js';
import type * as types from '../Types.js';
import { checkMemory, checkReadAfter, checkLiveEngine } from './loads.js';
import { checkClaim, checkOwner } from './ownership.js';
import { accept, reject, rejection, type TypedRecord } from './verdicts.js';

/** Applies the owner's decision to load an adapter into a ready replica. */
export function replayAdapterLoadDecided(
  state: types.ControlState,
  record: TypedRecord<types.AdapterLoadDecided>,
): types.ReplayResult {
  const { body } = record;
  const rejected = checkClaim(state, record.author, body.cell, body.claim);
  const replica = state.replicas.get(body.replica);
  if (rejected !== undefined || replica === undefined) {
    return { state, verdict: rejected ?? rejection('unknownReference', `replica ${body.replica} does not exist`) };
  }
  const infeasible =
    checkLiveEngine(state, replica.target) ??
    checkReplicaForAdapter(replica, body.adapter) ??
    checkUnsettledAdapterOrders(state, replica, body.adapter) ??
    checkAdaptersInTransit(state) ??
    checkMemory(state, replica.target, body.bytes);
  if (infeasible !== undefined) {
    return { state, verdict: infeasible };
  }
  const { adapter, bytes } = body;
  const entry: types.AdapterEntry = { adapter, order: record.offset, bytes, state: 'loading' };
  const order = createAdapterOrder(replica, record, { action: 'adapterLoad', adapter, bytes });
  return accept(state, {
    replicas: withAdapter(state, replica, entry),
    orders: withEntry(state.orders, record.offset, order),
  });
}

/** Applies the owner's report that the engine has loaded the adapter. */
export function replayAdapterReady(
  state: types.ControlState,
  record: TypedRecord<types.AdapterReady>,
): types.ReplayResult {
  const rejected = checkOwner(state, record.author);
  if (rejected !== undefined) {
    return { state, verdict: rejected };
  }
  for (const replica of state.replicas.values()) {
    for (const adapter of replica.adapters.values()) {
      if (adapter.order === record.body.order) {
        return transitionAdapter(state, replica, adapter, 'replicaReady');
      }
    }
  }
  return reject(state, 'unknownReference', `no replica has an adapter of order ${record.body.order}`);
}

/** Applies the owner's decision to unload an adapter. */
export function replayAdapterUnloadDecided(
  state: types.ControlState,
  record: TypedRecord<types.AdapterUnloadDecided>,
): types.ReplayResult {
  const { body } = record;
  const rejected = checkClaim(state, record.author, body.cell, body.claim);
  const replica = state.replicas.get(body.replica);
  const adapter = replica?.adapters.get(body.adapter);
  if (rejected !== undefined || replica === undefined || adapter === undefined) {
    const unknownAdapter = rejection('unknownReference', `replica ${body.replica} has no adapter ${body.adapter}`);
    return { state, verdict: rejected ?? unknownAdapter };
  }
  const transitioned = transitionAdapter(state, replica, adapter, 'unloadDecided');
  if (transitioned.verdict.kind !== 'accepted') {
    return transitioned;
  }
  const bytes = adapter.bytes.map(() => 0);
  const order = createAdapterOrder(replica, record, { action: 'adapterUnload', adapter: body.adapter, bytes });
  return accept(transitioned.state, { orders: withEntry(state.orders, record.offset, order) });
}

/** Applies the owner's report that the adapter is not loaded in the engine. */
export function replayAdapterUnloaded(
  state: types.ControlState,
  record: TypedRecord<types.AdapterUnloaded>,
): types.ReplayResult {
  const rejected = checkOwner(state, record.author);
  const replica = state.replicas.get(record.body.replica);
  const adapter = replica?.adapters.get(record.body.adapter);
  if (rejected !== undefined || replica === undefined || adapter === undefined) {
    const unknownAdapter = rejection(
      'unknownReference',
      `replica ${record.body.replica} has no adapter ${record.body.adapter}`,
    );
    return { state, verdict: rejected ?? unknownAdapter };
  }
  const outdated = checkReadAfter(record.body, adapter.lastSettledAt);
  if (outdated !== undefined) {
    return { state, verdict: outdated };
  }
  return transitionAdapter(
    state,
    replica,
    adapter,
    adapter.state === 'unloading' ? 'replicaUnloaded' : 'replicaFailed',
  );
}

function transitionAdapter(
  state: types.ControlState,
  replica: types.ReplicaEntry,
  adapter: types.AdapterEntry,
  event: string,
): types.ReplayResult {
  const nextState = replicaLifecycle.next(adapter.state, event);
  if (nextState === undefined) {
    return reject(state, 'wrongState', `${event} does not apply to a ${adapter.state} adapter`);
  }
  if (nextState === 'absent') {
    const adapters = withoutEntry(replica.adapters, adapter.adapter);
    return accept(state, { replicas: withEntry(state.replicas, replica.replica, { ...replica, adapters }) });
  }
  const updated = { ...adapter, state: nextState as types.ReplicaState };
  return accept(state, { replicas: withAdapter(state, replica, updated) });
}

function withAdapter(
  state: types.ControlState,
  replica: types.ReplicaEntry,
  entry: types.AdapterEntry,
): types.ControlState['replicas'] {
  const adapters = withEntry(replica.adapters, entry.adapter, entry);
  return withEntry(state.replicas, replica.replica, { ...replica, adapters });
}

function createAdapterOrder(
  replica: types.ReplicaEntry,
  record: TypedRecord<types.AdapterLoadDecided | types.AdapterUnloadDecided>,
  fields: Pick<types.OrderEntry, 'action' | 'bytes'> & { readonly adapter: string },
): types.OrderEntry {
  const { partner, model, version, target, replica: replicaId } = replica;
  const senders = new Map([[record.author, record.body.claim]]);
  return { partner, model, version, target, replica: replicaId, order: record.offset, senders, ...fields };
}

function checkReplicaForAdapter(replica: types.ReplicaEntry, adapter: string): types.Verdict | undefined {
  if (replica.state !== 'ready') {
    return rejection('wrongState', `replica ${replica.replica} is ${replica.state}`);
  }
  const entry = replica.adapters.get(adapter);
  return entry === undefined ? undefined : rejection('wrongState', `adapter ${adapter} is already ${entry.state}`);
}

function checkUnsettledAdapterOrders(
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

function checkAdaptersInTransit(state: types.ControlState): types.Verdict | undefined {
  const { maximumAdaptersInTransit } = state.limits;
  return adaptersInTransit(state) < maximumAdaptersInTransit
    ? undefined
    : rejection('adaptersInTransit', `${maximumAdaptersInTransit} adapters are in transit`);
}
