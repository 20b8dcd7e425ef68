/** What is tried again, how often and when. */
export * from './budget.js';
export * from './next_step.js';
export * from './patience.js';
