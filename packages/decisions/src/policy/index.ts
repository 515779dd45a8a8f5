export type * from './Types.js';
export * from './FixedKeepAlivePolicy.js';
export * from './GapHistogram.js';
export * from './HistogramPolicy.js';
export * from './KeepAlivePolicy.js';
export * from './LeastRecentlyUsedPolicy.js';
export * from './NeverUnloadPolicy.js';
export * from './UsageRecorder.js';
