/** Which jobs are refused on arrival, and for how long. */
export * from './estimate.js';
