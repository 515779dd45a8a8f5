import { exceedsRateLimit } from './rateLimits.js';
import type { PlacedModel, PlacedReplica, PlacementInput, PlannedOrder } from './Types.js';
import { adapterCount, freeMegabytes } from './weights.js';

/** Minimum time since the last use before an adapter is unloaded, milliseconds, so that requests in transit find it. */
const minimumAdapterIdleMs = 1_000;

/**
 * Decides which adapters to load and unload now. Each adapter that requests wait for is loaded on the least busy
 * replica that holds its model, and of each version that such requests need; a full replica first unloads its least recently used adapter.
 */
export function planAdapters(input: PlacementInput, nowMs: number): readonly PlannedOrder[] {
  const orders: PlannedOrder[] = [];
  const busy = new Set<string>();
  for (const demand of input.demands) {
    const { model, adapter } = demand.modelReference;
    // Requests may still be reported as waiting shortly after their adapter has become ready.
    if (adapter === undefined || demand.waiting === 0) {
      continue;
    }
    for (const version of [undefined, ...demand.requiredVersions]) {
      const replicas = input.replicas.filter((one) => version === undefined || one.softwareVersion === version);
      const replica = isPlaced(replicas, model, adapter) ? undefined : replicaFor(replicas, model, adapter, busy);
      const order = replica && orderFor(replica, model, adapter, input, nowMs);
      if (replica !== undefined && order !== undefined) {
        orders.push(order);
        busy.add(replica.id);
      }
    }
  }
  return orders;
}

function isPlaced(replicas: readonly PlacedReplica[], model: string, adapter: string): boolean {
  return replicas.some(
    (replica) => replica.takesOrders && !exceedsRateLimit(replica) && holdsAdapter(replica, model, adapter),
  );
}

/** The least busy replica that holds a model, without a rate limit if there is one. */
function replicaFor(
  replicas: readonly PlacedReplica[],
  model: string,
  adapter: string,
  busy: ReadonlySet<string>,
): PlacedReplica | undefined {
  const eligible = replicas.filter((one) => isEligible(one, model, busy) && !holdsAdapter(one, model, adapter));
  const unlimited = eligible.filter(({ rateLimit }) => rateLimit === undefined);
  return leastBusy(unlimited.length > 0 ? unlimited : eligible);
}

function holdsAdapter(replica: PlacedReplica, model: string, adapter: string): boolean {
  const holds = (held: PlacedModel): boolean =>
    held.name === model && held.adapters.some((placed) => placed.name === adapter);
  return replica.models.some(holds);
}

function isEligible(replica: PlacedReplica, model: string, busy: ReadonlySet<string>): boolean {
  const isIdle = replica.takesOrders && replica.order === undefined;
  return isIdle && !busy.has(replica.id) && replica.models.some((held) => held.name === model);
}

function orderFor(
  replica: PlacedReplica,
  model: string,
  adapter: string,
  input: PlacementInput,
  nowMs: number,
): PlannedOrder | undefined {
  const needed = input.models.get(model)?.adapterMegabytes ?? Number.POSITIVE_INFINITY;
  const hasRoom = adapterCount(replica) < replica.adapterSlots && freeMegabytes(replica, input.models) >= needed;
  const common = { replicaId: replica.id, tier: 'store', reason: 'adapter' } as const;
  if (hasRoom) {
    return { ...common, kind: 'load', model, adapter };
  }
  const victim = leastRecentlyUsed(replica.models, nowMs);
  return victim && { ...common, kind: 'unload', ...victim };
}

function leastRecentlyUsed(
  models: readonly PlacedModel[],
  nowMs: number,
): { readonly model: string; readonly adapter: string } | undefined {
  const adapters = models.flatMap((held) => held.adapters.map((adapter) => ({ model: held.name, ...adapter })));
  const idle = adapters.filter((adapter) => nowMs - adapter.lastUsedMs >= minimumAdapterIdleMs);
  idle.sort((first, second) => first.lastUsedMs - second.lastUsedMs);
  const victim = idle[0];
  return victim && { model: victim.model, adapter: victim.name };
}

function leastBusy(replicas: readonly PlacedReplica[]): PlacedReplica | undefined {
  return replicas.reduce<PlacedReplica | undefined>(
    (best, replica) => (best === undefined || replica.running < best.running ? replica : best),
    undefined,
  );
}
