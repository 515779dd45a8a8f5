import type { ReadyEstimate } from '../peers/Types.js';
import { CopyIndex } from './CopyIndex.js';
import type { PlacementInput } from './Types.js';
import { demandByModel, isLoadingFromStore, storeCandidates, waitingModels } from './weights.js';

/** Expected time of a load from host memory or disk including the unload before it, milliseconds. */
const localSwapMs = 1_200;

/**
 * Estimates when each model that requests wait for is ready, so that callers are not held during bursts of requests
 * for rarely used models. A load in progress ends at its expected time, a load from local weights takes a fixed short
 * time, and a load from the weight store waits for the loads ahead of it.
 */
export function estimateReady(input: PlacementInput, nowMs: number): readonly ReadyEstimate[] {
  const estimates: ReadyEstimate[] = [];
  const copies = new CopyIndex(input.replicas);
  const demands = demandByModel(input.demands);
  const missing = storeCandidates(demands, copies).filter(([model]) => !copies.hasAnyCopy(model));
  const ranks = new Map(missing.map(([model], index) => [model, index]));
  const storeLoadEnds = input.replicas
    .filter(isLoadingFromStore)
    .map((replica) => Math.max((replica.order?.expectedDoneMs ?? nowMs) - nowMs, 0))
    .sort((first, second) => first - second);
  for (const [model] of waitingModels(demands)) {
    const specification = input.models.get(model);
    const holders = copies.assigned(model);
    const loading = holders.find((replica) => replica.order?.kind === 'load' && replica.order.model === model);
    if (loading?.order !== undefined) {
      estimates.push({ model, readyInMs: Math.max(loading.order.expectedDoneMs - nowMs, 0) });
    } else if (holders.some(({ rateLimit }) => rateLimit !== undefined)) {
      // The requests wait for permits, whose time the daemons know, unless the model is being loaded elsewhere.
      continue;
    } else if (holders.length > 0 || copies.withLocalWeights(model).length > 0) {
      estimates.push({ model, readyInMs: localSwapMs });
    } else if (specification !== undefined) {
      const queued = ranks.get(model) ?? 0;
      const slot = queued % input.maximumStoreLoads;
      const rounds = Math.floor(queued / input.maximumStoreLoads) + 1;
      const startInMs = storeLoadEnds.length < input.maximumStoreLoads ? 0 : (storeLoadEnds[slot] ?? 0);
      estimates.push({ model, readyInMs: startInMs + rounds * specification.loadMs.store });
    }
  }
  return estimates;
}
