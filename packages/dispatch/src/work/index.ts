/** Jobs, their tasks, progress and outcomes. */
export * from './job.js';
export * from './outcome.js';
export type * from './progress.js';
