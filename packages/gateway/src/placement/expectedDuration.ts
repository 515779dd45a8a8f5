import type { ModelSpecification, WeightTier } from '../Types.js';
import type { PlacementInput, PlannedOrder } from './Types.js';

/** Time from an accepted adapter load until the adapter counts as ready, milliseconds. Loads take up to 10 ms. */
export const adapterReadyMs = 14;
/** Margin added to the nominal time of a load from host memory or disk, milliseconds. */
const localLoadMarginMs = 40;
/** Duration of the unload of an idle model, milliseconds. */
export const idleUnloadMs = 15;

/** Expected time from the acceptance of an order to its completion, milliseconds. Only idle models are unloaded. */
export function expectedDuration(order: PlannedOrder, input: PlacementInput): number {
  if (order.adapter !== undefined) {
    return order.kind === 'load' ? adapterReadyMs : 0;
  }
  if (order.kind === 'unload') {
    return idleUnloadMs;
  }
  const specification = input.models.get(order.model);
  return specification === undefined ? localLoadMarginMs : loadDurationMs(specification, order.tier);
}

/** Expected time of the load of a model, milliseconds. */
export function loadDurationMs({ loadMs }: ModelSpecification, tier: WeightTier): number {
  return tier === 'store' ? loadMs.store : loadMs[tier] + localLoadMarginMs;
}
