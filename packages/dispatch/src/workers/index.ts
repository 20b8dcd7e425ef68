/** Workers and what runs there. */
export * from './run.js';
export * from './worker.js';
export * from './worker_record.js';
