/** Decides what is retried, how often and when. */
export * from './budget.js';
export * from './next_step.js';
export * from './retry_limits.js';
