export type * from './Types.js';
export * from './admitRequest.js';
