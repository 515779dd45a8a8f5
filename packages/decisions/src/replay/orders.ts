/** Replay of adopting and settling orders, and of fencing. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { orderLifecycle, replicaLifecycle } from '../lifecycle/Lifecycle.js';
import { adapterOf, findTarget } from '../queries/memory.js';
import { isSameModel } from '../queries/replicas.js';
import type * as types from '../Types.js';
import { checkClaim, checkReporter } from './ownership.js';
import { accept, reject, type Step } from './verdicts.js';

/** State of the replica or adapter in which an order of each action may still be sent by a new owner. */
const adoptableStates: Readonly<Record<types.OrderEntry['action'], types.ReplicaState>> = {
  load: 'loading',
  unload: 'unloading',
  adapterLoad: 'loading',
  adapterUnload: 'unloading',
};

/** The current owner becomes a further sender of an unsettled order. */
export function replayAdopted(state: types.ControlState, step: Step<types.OrderAdopted>): types.ReplayResult {
  const { cell, claim, order: id } = step.body;
  const refusal = checkClaim(state, step.author, cell, claim);
  if (refusal !== undefined) {
    return { state, verdict: refusal };
  }
  const order = state.orders.get(id);
  if (order === undefined) {
    return reject(state, 'unknownReference', `order ${id} is not unsettled`);
  }
  const subject = order.adapter === undefined ? state.replicas.get(order.replica) : adapterOf(state, order);
  if (
    subject?.state !== adoptableStates[order.action] ||
    orderLifecycle.next(stateOf(order), 'adopted') === undefined
  ) {
    return reject(state, 'wrongState', `order ${id} is no longer due: its subject is ${subject?.state ?? 'gone'}`);
  }
  const adopted = { ...order, senders: withEntry(order.senders, step.author, claim) };
  return accept(state, { orders: withEntry(state.orders, id, adopted) });
}

/** A sender reports that it will not send the order again. */
export function replaySettled(state: types.ControlState, step: Step<types.OrderSettled>): types.ReplayResult {
  const order = state.orders.get(step.body.order);
  if (order === undefined) {
    return reject(state, 'unknownReference', `order ${step.body.order} is not unsettled`);
  }
  if (!order.senders.has(step.author)) {
    return reject(state, 'notAuthor', `${step.author} is not a sender of order ${order.order}`);
  }
  return accept(settleSender(state, order, step.author, step.body.result));
}

/** A checking engine refuses orders of older claims from now on. */
export function replayFence(state: types.ControlState, step: Step<types.FenceRaised>): types.ReplayResult {
  const { target: address, claim } = step.body;
  const refusal = checkReporter(state, step.author);
  if (refusal !== undefined) {
    return { state, verdict: refusal };
  }
  const current = [...state.cells.values()].find((cell) => cell.owner === step.author)?.claim;
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
  const raised = { ...state, fences: withEntry(state.fences, address, claim) };
  return accept(settleMatching(raised, (order, senderClaim) => order.target === address && senderClaim < claim));
}

/** Settles all orders of an incarnation that sends nothing more. */
export function settleIncarnation(state: types.ControlState, incarnation: string): types.ControlState {
  return settleMatching(state, (_order, _claim, sender) => sender === incarnation);
}

function settleMatching(
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
  const ranLate = order.mayHaveRunLate === true || (result === 'sent' && isSubjectGone(state, order));
  const event = senders.size === 0 ? 'lastSenderSettled' : 'senderSettled';
  if (orderLifecycle.next(stateOf(order), event) !== 'settled') {
    const remaining = { ...order, senders, ...(ranLate ? { mayHaveRunLate: true } : {}) };
    return noteSettled({ ...state, orders: withEntry(state.orders, order.order, remaining) }, order);
  }
  const settled = noteSettled({ ...state, orders: withoutEntry(state.orders, order.order) }, order);
  return ranLate ? restoreLoading(settled, order) : settled;
}

/** A late adapter can only sit in a late load of its model; the memory of both is released together. */
function addToPinnedLoad(
  orders: types.ControlState['orders'],
  adapter: types.OrderEntry,
): types.ControlState['orders'] {
  for (const order of orders.values()) {
    if (order.action === 'load' && order.target === adapter.target && isSameModel(order, adapter)) {
      const bytes = order.bytes.map((count, index) => count + (adapter.bytes[index] ?? 0));
      return withEntry(orders, order.order, { ...order, bytes });
    }
  }
  return orders;
}

/** Notes in the loaded subject of an order that a sender was settled, so that older readings of the engine are void. */
function noteSettled(state: types.ControlState, order: types.OrderEntry): types.ControlState {
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

function stateOf(order: types.OrderEntry): string {
  return order.targetGone === true ? 'detached' : 'unsettled';
}

function isSubjectGone(state: types.ControlState, order: types.OrderEntry): boolean {
  return order.action === 'load'
    ? !state.replicas.has(order.replica)
    : order.action === 'adapterLoad' && adapterOf(state, order)?.order !== order.order;
}

/**
 * A load that may have reached its engine after the engine had confirmed that nothing is loaded counts as loading
 * again, so that its memory is released only by another confirmation.
 */
function restoreLoading(state: types.ControlState, order: types.OrderEntry): types.ControlState {
  const vm = findTarget(state, order.target)?.vm.vm;
  if (vm === undefined || replicaLifecycle.next('absent', 'lateLoadSettled') !== 'loading') {
    return state;
  }
  const { order: id, partner, model, version, target, bytes } = order;
  if (order.action === 'load') {
    const urgency = order.urgency ?? 'batch';
    const names = { partner, model, version, replica: id, target, vm };
    const lastSettledAt = state.appliedOffset;
    const adapters = new Map<string, types.AdapterEntry>();
    const entry: types.ReplicaEntry = { ...names, bytes, state: 'loading', urgency, adapters, lastSettledAt };
    return { ...state, replicas: withEntry(state.replicas, id, entry) };
  }
  // A later replica of the model on the same target takes the adapter as well.
  const replica = [...state.replicas.values()].find(
    (candidate) => candidate.target === target && isSameModel(candidate, order),
  );
  if (replica === undefined) {
    return { ...state, orders: addToPinnedLoad(state.orders, order) };
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
