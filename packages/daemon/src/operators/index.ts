export * from './openOperators.js';
export type * from './Types.js';
