/** The owner: runs callers' jobs at the holder and returns the results. */
export * from './owner.js';
