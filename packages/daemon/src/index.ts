export type * from './Types.js';
export * from './settings/index.js';
export * from './timeline/index.js';
