/** What runs show of the lengths of tasks and of the speed of workers. */
export * from './progress_trust.js';
export * from './recent_runs.js';
export * from './run_progress.js';
export * from './run_time_distribution.js';
export * from './shown_lengths.js';
export * from './slow_worker.js';
