/** Views of the settings tree for the operators' API, and its operations. */
export * from './diff.js';
export * from './effective.js';
export * from './settings_operations.js';
