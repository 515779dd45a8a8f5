export * from './openFront.js';
