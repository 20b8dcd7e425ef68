/** One schema for the process file and the inherited tree of settings. */
export * from './edits/index.js';
export * from './follow/index.js';
export * from './process/index.js';
export * from './tree/index.js';
