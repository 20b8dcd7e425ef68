/** The settings file of a process and the operators' hierarchical settings. */
export * from './edits/index.js';
export * from './follow/index.js';
export * from './process/index.js';
export * from './tree/index.js';
