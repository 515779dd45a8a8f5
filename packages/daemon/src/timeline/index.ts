export * from './mergeEvents.js';
export * from './Timeline.js';
