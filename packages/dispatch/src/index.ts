/** Decisions of the holder of a zone's workers. No network, no clock. */
export * from './dispatcher/index.js';
export * from './neighbours/index.js';
export * from './speeds/index.js';
export * from './work/index.js';
export * from './workers/index.js';
