/** What a holder can take on, and retry delays for refused callers. */
export * from './estimate.js';
export * from './held_work.js';
export * from './return_schedule.js';
