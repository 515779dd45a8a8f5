/** Queries of the replayed state that placement uses. */
import { replicasOf as findReplicas, type CountedReplica } from '../queries/replicas.js';
import type { ControlState, ModelVersion } from '../Types.js';

export { allModels, modelSettings, shareOf } from '../configuration/settings.js';
export { freeBytes } from '../queries/memory.js';
export { isSameVersion } from '../queries/replicas.js';

// One look at all models asks several times for each; states are immutable, so an answer holds for its state.
const replicasByState = new WeakMap<ControlState, Map<string, readonly CountedReplica[]>>();

/** Replicas of a model version that count, remembered per state. */
export function replicasOf(state: ControlState, version: ModelVersion): readonly CountedReplica[] {
  let known = replicasByState.get(state);
  if (known === undefined) {
    known = new Map();
    replicasByState.set(state, known);
  }
  const key = `${version.partner}/${version.model}@${version.version}`;
  let replicas = known.get(key);
  if (replicas === undefined) {
    replicas = findReplicas(state, version);
    known.set(key, replicas);
  }
  return replicas;
}
