export { openOwner } from './openOwner.js';
