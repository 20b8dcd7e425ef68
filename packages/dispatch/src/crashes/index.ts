/** Which tasks were running when their workers crashed. */
export * from './crash.js';
export * from './crash_history.js';
