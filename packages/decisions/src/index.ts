export type * from './Types.js';
export * from './admission/index.js';
export * from './routing/index.js';
