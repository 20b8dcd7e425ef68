/** Room in other zones. */
export * from './neighbours.js';
