/** Measured speeds of servers and run times of tasks. */
export * from './run_estimates.js';
export * from './server_speed.js';
