export type * from './Types.js';
export * from './evictions.js';
export * from './fitting.js';
export * from './LoadQueue.js';
export * from './LoadTimes.js';
export * from './placeReplica.js';
export * from './TokenBucket.js';
export * from './placeAdapter.js';
export * from './autoscaling.js';
