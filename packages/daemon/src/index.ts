export type * from './Types.js';
