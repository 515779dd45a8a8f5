/** Queries of the replayed state that placement uses. */
export { allModels, modelSettings, shareOf } from '../configuration/settings.js';
export { freeBytes } from '../queries/memory.js';
export { isSameVersion, replicasOf } from '../queries/replicas.js';
