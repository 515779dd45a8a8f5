import type { PlacedReplica } from '../placement/Types.js';

/** Creates a replica for placement tests, empty except for `changes`. */
export function placedReplica(id: string, changes: Partial<PlacedReplica> = {}): PlacedReplica {
  return {
    id,
    weightMegabytes: 200_000,
    adapterSlots: 8,
    slots: 12,
    softwareVersion: 'v1',
    takesRequests: true,
    takesOrders: true,
    hasFormerOrder: false,
    models: [],
    inMemory: new Set(),
    onDisk: new Set(),
    running: 0,
    slowness: 1,
    ...changes,
  };
}
