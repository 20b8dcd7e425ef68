/** The owner: runs callers' jobs at the holder and returns the results. */
export * from './attempt.js';
export * from './holder_client.js';
export * from './owner.js';
