/** Calls to one instance's operators' listener. */
export * from './calls.js';
export * from './target.js';
