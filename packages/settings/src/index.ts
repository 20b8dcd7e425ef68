/** One schema for the process file and the inherited tree of settings. */
export * from './process/index.js';
export * from './tree/schema.js';
