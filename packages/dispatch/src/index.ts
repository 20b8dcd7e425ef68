/**
 * Scheduling decisions for the workers of one zone. Without network or clock:
 * the caller passes in the time and executes the commands.
 */
export * from './dispatcher/index.js';
export * from './remote_vacancies/index.js';
export * from './run_times/index.js';
export * from './work/index.js';
export * from './workers/index.js';
