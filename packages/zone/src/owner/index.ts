/** Answering for callers' jobs. */
export * from './owner.js';
