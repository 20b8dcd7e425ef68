/** Submissions, reads and cancellations. */
export * from './ask_again.js';
export * from './context.js';
export * from './job_calls.js';
export * from './submit.js';
