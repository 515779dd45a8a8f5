/** Chooses the replica that an adapter is loaded on. */
import * as queries from './queries.js';
import type { AcceleratorBytes, ModelSettings, ReplicaEntry, ReplicaId } from '../Types.js';
import { isOnLeavingVm } from './placeReplica.js';
import type { PlacementView } from './Types.js';

/** Result of placing an adapter. */
export type AdapterPlacement =
  | { readonly kind: 'served'; readonly replica: ReplicaId; readonly state: 'loading' | 'ready' }
  | { readonly kind: 'load'; readonly replica: ReplicaId; readonly bytes: AcceleratorBytes }
  /** The least recently used adapters of the replica have to be unloaded first. */
  | { readonly kind: 'evict'; readonly replica: ReplicaId; readonly adapters: readonly string[] }
  | { readonly kind: 'wait' }
  | { readonly kind: 'noRoom' };

/** Places an adapter on a ready replica of its model. */
export function placeAdapter(
  view: PlacementView,
  settings: ModelSettings,
  adapter: string,
  adapterBytes: number,
): AdapterPlacement {
  const replicas = [...view.state.replicas.values()].filter(
    (replica) =>
      queries.isSameVersion(replica, settings) && replica.state === 'ready' && !isOnLeavingVm(view, replica.replica),
  );
  const holders = replicas.flatMap((replica) => {
    const state = replica.adapters.get(adapter)?.state;
    return state === 'ready' || state === 'loading' ? [{ replica: replica.replica, state }] : [];
  });
  const holder = holders.find((entry) => entry.state === 'ready') ?? holders[0];
  if (holder !== undefined) {
    return { kind: 'served', ...holder };
  }
  const eligible = replicas.filter((replica) => !hasAdapterOrOrder(view, replica, adapter));
  if (eligible.length === 0) {
    return { kind: 'wait' };
  }
  return placeOn(view, eligible, adapterBytes);
}

function placeOn(view: PlacementView, replicas: readonly ReplicaEntry[], adapterBytes: number): AdapterPlacement {
  for (const replica of replicas) {
    const bytes = spreadEvenly(replica, adapterBytes);
    if (fits(bytes, queries.freeBytes(view.state, replica.target))) {
      return { kind: 'load', replica: replica.replica, bytes };
    }
  }
  for (const replica of replicas) {
    const adapters = chooseVictims(view, replica, spreadEvenly(replica, adapterBytes));
    if (adapters !== undefined) {
      return { kind: 'evict', replica: replica.replica, adapters };
    }
  }
  return { kind: 'noRoom' };
}

/** Adapter memory is divided evenly over the accelerators of its replica. */
function spreadEvenly(replica: ReplicaEntry, adapterBytes: number): AcceleratorBytes {
  const used = replica.bytes.filter((bytes) => bytes > 0).length;
  return replica.bytes.map((bytes) => (bytes > 0 ? Math.ceil(adapterBytes / used) : 0));
}

function fits(bytes: AcceleratorBytes, free: AcceleratorBytes): boolean {
  return bytes.every((need, index) => need <= (free[index] ?? 0));
}

function chooseVictims(
  view: PlacementView,
  replica: ReplicaEntry,
  bytes: AcceleratorBytes,
): readonly string[] | undefined {
  if (view.nowMs < view.evictAfterMs) {
    return undefined;
  }
  const usage = view.usageOf(replica);
  const idle = [...replica.adapters.values()]
    .filter((entry) => entry.state === 'ready' && (usage.adaptersInFlight.get(entry.adapter) ?? 0) === 0)
    .sort(
      (first, second) =>
        (usage.adaptersLastUsedMs.get(first.adapter) ?? 0) - (usage.adaptersLastUsedMs.get(second.adapter) ?? 0),
    );
  let free = queries.freeBytes(view.state, replica.target);
  const chosen: string[] = [];
  for (const entry of idle) {
    free = free.map((available, index) => available + (entry.bytes[index] ?? 0));
    chosen.push(entry.adapter);
    if (fits(bytes, free)) {
      return chosen;
    }
  }
  return undefined;
}

function hasAdapterOrOrder(view: PlacementView, replica: ReplicaEntry, adapter: string): boolean {
  const entry = replica.adapters.get(adapter);
  return (
    entry !== undefined ||
    [...view.state.orders.values()].some((order) => order.target === replica.target && order.adapter === adapter)
  );
}
