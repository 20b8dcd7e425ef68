/** What the list of workers and their answers to polls change. */
export * from './cold_workers.js';
export * from './crash_recorder.js';
export * from './health.js';
export * from './learn_from_run.js';
export * from './poll_answer.js';
export * from './run_reports.js';
export * from './slowness_evidence.js';
export * from './strike_recorder.js';
export * from './worker_list.js';
export * from './worker_reports.js';
