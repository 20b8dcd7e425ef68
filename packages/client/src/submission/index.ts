/** Submissions, reads and cancellations. */
export * from './retry_until_answered.js';
export * from './context.js';
export * from './job_calls.js';
export * from './submission.js';
