import type { PlacementInput, PlannedOrder } from './Types.js';

/** Time after an accepted order for an adapter until it is ready, milliseconds. Loads take up to 10 ms. */
const adapterReadyMs = 14;
/** Added to the stated time of a load from memory or disk before the model counts as ready, milliseconds. */
const localLoadMarginMs = 40;
/** An unload of an idle model is done after this time, milliseconds. */
const idleUnloadMs = 15;

/** Time from an order's acceptance until it is done, milliseconds. Only idle models are unloaded. */
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
