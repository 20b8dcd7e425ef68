/** Capacity estimates, and retry delays for refused callers. */
export * from './estimate.js';
