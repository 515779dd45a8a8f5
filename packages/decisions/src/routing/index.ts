export type * from './Types.js';
export * from './chooseTarget.js';
export * from './idempotentRoute.js';
export * from './promptHash.js';
export * from './readyReplicas.js';
export * from './retryBudget.js';
