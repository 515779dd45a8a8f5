export * from './Clock.js';
export * from './contracts/index.js';
export * from './Gateway.js';
export * from './GatewayTypes.js';
export * from './leadership/Lease.js';
export * from './tenants/keyDigest.js';
export * from './Types.js';
export * from './StatusServer.js';
