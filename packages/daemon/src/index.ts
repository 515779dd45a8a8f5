export type * from './Types.js';
export * from './operators/index.js';
export * from './settings/index.js';
export * from './timeline/index.js';
