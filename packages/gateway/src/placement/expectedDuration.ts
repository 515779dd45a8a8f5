import type { PlacementInput, PlannedOrder } from './Types.js';

/** Time from an accepted adapter load until the adapter counts as ready, milliseconds. Loads take up to 10 ms. */
const adapterReadyMs = 14;
/** Margin added to the nominal time of a load from host memory or disk, milliseconds. */
const localLoadMarginMs = 40;
/** Duration of the unload of an idle model, milliseconds. */
const idleUnloadMs = 15;

/** Expected time from the acceptance of an order to its completion, milliseconds. Only idle models are unloaded. */
export function expectedDuration(order: PlannedOrder, input: PlacementInput): number {
  if (order.adapter !== undefined) {
    return order.kind === 'load' ? adapterReadyMs : 0;
  }
  if (order.kind === 'unload') {
    return idleUnloadMs;
  }
  const nominalMs = input.models.get(order.model)?.loadMs[order.tier] ?? 0;
  return order.tier === 'store' ? nominalMs : nominalMs + localLoadMarginMs;
}
