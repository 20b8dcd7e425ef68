/** Workers and their runs. */
export * from './run.js';
export * from './worker.js';
export * from './worker_record.js';
export * from './start_window.js';
