/** Assigns waiting tasks to workers, and moves runs that are late. */
export * from './crashing_tasks.js';
export * from './create_demand.js';
export * from './create_run.js';
export * from './limit_to_zones.js';
export * from './min_worth.js';
export * from './move_late_runs.js';
export * from './placement_round.js';
export * from './placer.js';
export * from './start_sharing.js';
export * from './vacancies.js';
