import type { Replica } from '../Types.js';

/** Creates a ready replica without models, with `changes` applied. */
export function sampleReplica(changes: Partial<Replica> = {}): Replica {
  return {
    id: 'r1',
    service: 's',
    address: { host: '10.0.0.1', port: 80 },
    failureDomain: 'a',
    softwareVersion: 'v1',
    slots: 4,
    state: 'ready',
    bornMs: 1,
    orderSequence: 0,
    models: [],
    inMemory: [],
    onDisk: [],
    ...changes,
  };
}
