export * from './commands/index.js';
export type * from './Types.js';
