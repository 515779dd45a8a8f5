/** Replay of the adoption and settlement of orders, and of fencing. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { orderLifecycle, replicaLifecycle } from '../lifecycle/Lifecycle.js';
import { adapterOf, findTarget } from '../queries/memory.js';
import { isSameModel } from '../queries/replicas.js';
import type * as types from '../Types.js';
import { checkClaim, checkOwner } from './ownership.js';
import { accept, reject, type TypedRecord } from './verdicts.js';

/** For each action, the state of the replica or adapter in which a new owner may still adopt and send the order. */
const adoptableStates: Readonly<Record<types.OrderEntry['action'], types.ReplicaState>> = {
  load: 'loading',
  unload: 'unloading',
  adapterLoad: 'loading',
  adapterUnload: 'unloading',
};

/** Adds the current owner as a sender of an unsettled order. */
export function replayOrderAdopted(
  state: types.ControlState,
  record: TypedRecord<types.OrderAdopted>,
): types.ReplayResult {
  const { cell, claim, order: id } = record.body;
  const rejected = checkClaim(state, record.author, cell, claim);
  if (rejected !== undefined) {
    return { state, verdict: rejected };
  }
  const order = state.orders.get(id);
  if (order === undefined) {
    return reject(state, 'unknownReference', `order ${id} is not unsettled`);
  }
  const replicaOrAdapter = order.adapter === undefined ? state.replicas.get(order.replica) : adapterOf(state, order);
  if (
    replicaOrAdapter?.state !== adoptableStates[order.action] ||
    orderLifecycle.next(lifecycleStateOf(order), 'adopted') === undefined
  ) {
    return reject(
      state,
      'wrongState',
      `order ${id} is no longer due: its subject is ${replicaOrAdapter?.state ?? 'gone'}`,
    );
  }
  const adopted = { ...order, senders: withEntry(order.senders, record.author, claim) };
  return accept(state, { orders: withEntry(state.orders, id, adopted) });
}

/** Applies a sender's report that it will not send the order again. */
export function replayOrderSettled(
  state: types.ControlState,
  record: TypedRecord<types.OrderSettled>,
): types.ReplayResult {
  const order = state.orders.get(record.body.order);
  if (order === undefined) {
    return reject(state, 'unknownReference', `order ${record.body.order} is not unsettled`);
  }
  if (!order.senders.has(record.author)) {
    return reject(state, 'notAuthor', `${record.author} is not a sender of order ${order.order}`);
  }
  return accept(settleSender(state, order, record.author, record.body.result));
}

/** Raises the fencing token of an engine that checks it: the engine refuses orders of older claims from now on. */
export function replayFenceRaised(
  state: types.ControlState,
  record: TypedRecord<types.FenceRaised>,
): types.ReplayResult {
  const { target: address, claim } = record.body;
  const rejected = checkOwner(state, record.author);
  if (rejected !== undefined) {
    return { state, verdict: rejected };
  }
  const current = [...state.cells.values()].find((cell) => cell.owner === record.author)?.claim;
  if (current !== claim) {
    return reject(state, 'claimSuperseded', `claim ${claim} is not the current one`, current ?? undefined);
  }
  const target = findTarget(state, address)?.target;
  if (target === undefined) {
    return reject(state, 'targetUnknown', `target ${address} is not listed`);
  }
  if (target.fencing !== 'checked') {
    return reject(state, 'wrongState', `target ${address} ignores fencing tokens`);
  }
  const fenced = { ...state, fences: withEntry(state.fences, address, claim) };
  return accept(settleMatchingSenders(fenced, (order, senderClaim) => order.target === address && senderClaim < claim));
}

/** Settles all orders on behalf of an incarnation that sends nothing more. */
export function settleIncarnation(state: types.ControlState, incarnation: string): types.ControlState {
  return settleMatchingSenders(state, (_order, _claim, sender) => sender === incarnation);
}

function settleMatchingSenders(
  state: types.ControlState,
  matches: (order: types.OrderEntry, claim: types.ClaimOffset, sender: string) => boolean,
): types.ControlState {
  let settled = state;
  for (const order of state.orders.values()) {
    for (const [sender, claim] of order.senders) {
      const current = settled.orders.get(order.order);
      if (current !== undefined && matches(order, claim, sender)) {
        settled = settleSender(settled, current, sender, 'sent');
      }
    }
  }
  return settled;
}

function settleSender(
  state: types.ControlState,
  order: types.OrderEntry,
  sender: string,
  result: types.OrderSettled['result'],
): types.ControlState {
  const senders = withoutEntry(order.senders, sender);
  const mayHaveRunLate = order.mayHaveRunLate === true || (result === 'sent' && isReplicaOrAdapterGone(state, order));
  const event = senders.size === 0 ? 'lastSenderSettled' : 'senderSettled';
  if (orderLifecycle.next(lifecycleStateOf(order), event) !== 'settled') {
    const remaining = { ...order, senders, ...(mayHaveRunLate ? { mayHaveRunLate: true } : {}) };
    return setLastSettledAt({ ...state, orders: withEntry(state.orders, order.order, remaining) }, order);
  }
  const settled = setLastSettledAt({ ...state, orders: withoutEntry(state.orders, order.order) }, order);
  return mayHaveRunLate ? restoreLoading(settled, order) : settled;
}

/**
 * Adds the memory of a late adapter to the unsettled load order of its model. Without a replica, the adapter can only
 * be loaded into a late load of the model, so the memory of both is released together.
 */
function addToLateLoad(orders: types.ControlState['orders'], adapter: types.OrderEntry): types.ControlState['orders'] {
  for (const order of orders.values()) {
    if (order.action === 'load' && order.target === adapter.target && isSameModel(order, adapter)) {
      const bytes = order.bytes.map((count, index) => count + (adapter.bytes[index] ?? 0));
      return withEntry(orders, order.order, { ...order, bytes });
    }
  }
  return orders;
}

/** Sets `lastSettledAt` of the replica or adapter of a load order, so that older engine status is rejected. */
function setLastSettledAt(state: types.ControlState, order: types.OrderEntry): types.ControlState {
  const lastSettledAt = state.appliedOffset;
  const replica = state.replicas.get(order.replica);
  if (replica === undefined) {
    return state;
  }
  if (order.action === 'load') {
    return { ...state, replicas: withEntry(state.replicas, replica.replica, { ...replica, lastSettledAt }) };
  }
  const adapter = adapterOf(state, order);
  if (order.action !== 'adapterLoad' || adapter?.order !== order.order) {
    return state;
  }
  const adapters = withEntry(replica.adapters, adapter.adapter, { ...adapter, lastSettledAt });
  return { ...state, replicas: withEntry(state.replicas, replica.replica, { ...replica, adapters }) };
}

function lifecycleStateOf(order: types.OrderEntry): string {
  return order.targetGone === true ? 'detached' : 'unsettled';
}

function isReplicaOrAdapterGone(state: types.ControlState, order: types.OrderEntry): boolean {
  return order.action === 'load'
    ? !state.replicas.has(order.replica)
    : order.action === 'adapterLoad' && adapterOf(state, order)?.order !== order.order;
}

/**
 * Restores the replica or adapter of a load that may have reached its engine after the engine confirmed that nothing is
 * loaded. It counts as loading again, so that only another confirmation releases its memory.
 */
function restoreLoading(state: types.ControlState, order: types.OrderEntry): types.ControlState {
  const vm = findTarget(state, order.target)?.vm.vm;
  if (vm === undefined || replicaLifecycle.next('absent', 'lateLoadSettled') !== 'loading') {
    return state;
  }
  const { order: id, partner, model, version, target, bytes } = order;
  if (order.action === 'load') {
    const urgency = order.urgency ?? 'batch';
    const identity = { partner, model, version, replica: id, target, vm };
    const lastSettledAt = state.appliedOffset;
    const adapters = new Map<string, types.AdapterEntry>();
    const entry: types.ReplicaEntry = { ...identity, bytes, state: 'loading', urgency, adapters, lastSettledAt };
    return { ...state, replicas: withEntry(state.replicas, id, entry) };
  }
  // The adapter may also have been loaded into a later replica of the model on the same target.
  const replica = [...state.replicas.values()].find(
    (candidate) => candidate.target === target && isSameModel(candidate, order),
  );
  if (replica === undefined) {
    return { ...state, orders: addToLateLoad(state.orders, order) };
  }
  if (order.adapter === undefined || replica.adapters.has(order.adapter)) {
    return state;
  }
  const adapter: types.AdapterEntry = {
    adapter: order.adapter,
    order: id,
    bytes,
    state: 'loading',
    lastSettledAt: state.appliedOffset,
  };
  const adapters = withEntry(replica.adapters, order.adapter, adapter);
  return { ...state, replicas: withEntry(state.replicas, replica.replica, { ...replica, adapters }) };
}
