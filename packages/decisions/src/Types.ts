/** All types that decisions share. */
export type * from './claims/Types.js';
export type * from './records/Types.js';
export type * from './state/Types.js';
