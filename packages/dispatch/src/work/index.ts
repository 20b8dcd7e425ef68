/** Jobs, their tasks and how they end. */
export * from './job.js';
export * from './outcome.js';
export type * from './progress.js';
