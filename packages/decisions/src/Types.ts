/** Types that the folders of this package share; the package exports them as well. */
export type * from './claims/Types.js';
export type * from './records/Types.js';
export type * from './state/Types.js';
