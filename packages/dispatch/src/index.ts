/**
 * Schedules tasks on the workers of one zone. The package does no I/O and reads
 * no clock: its caller passes in the time and executes the returned commands.
 */
export {
  HeldWork,
  measureJob,
  type HeldWorkLimits,
  type JobSize,
} from './admission/index.js';
export * from './crashes/index.js';
export * from './dispatcher/index.js';
export * from './remote_runs/index.js';
export * from './remote_vacancies/index.js';
export * from './run_times/index.js';
export * from './task_history/index.js';
export * from './unanswered_starts/index.js';
export * from './work/index.js';
export * from './workers/index.js';
