/** What operators see of the settings. */
export * from './diff.js';
export * from './effective.js';
export * from './settings_operations.js';
