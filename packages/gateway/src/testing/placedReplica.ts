import type { PlacedReplica } from '../placement/Types.js';

/** A replica as placement sees it, empty unless told otherwise. */
export function placedReplica(id: string, changes: Partial<PlacedReplica> = {}): PlacedReplica {
  return {
    id,
    weightMegabytes: 200_000,
    adapterSlots: 8,
    slots: 12,
    takesRequests: true,
    takesOrders: true,
    hasFormerOrder: false,
    models: [],
    inMemory: new Set(),
    onDisk: new Set(),
    running: 0,
    ...changes,
  };
}
