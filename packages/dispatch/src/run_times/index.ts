/** Expected run times, learned from finished runs. */
export * from './run_times.js';
