export * from './readSettings.js';
