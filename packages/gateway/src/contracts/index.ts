export * from './EngineClient.js';
export * from './MetadataStore.js';
export * from './RequestCodec.js';
export * from './StoreEra.js';
