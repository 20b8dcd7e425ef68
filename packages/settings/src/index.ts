/** One schema for the inherited tree of settings. */
export * from './tree/schema.js';
