/** Ends runs and jobs: when their time is over, and by stop commands. */
export * from './end_overdue.js';
export * from './overdue.js';
export * from './run_ends.js';
export * from './sole_holder.js';
export * from './stopper.js';
