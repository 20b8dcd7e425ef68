/** Learned run times and speeds. */
export * from './durations.js';
