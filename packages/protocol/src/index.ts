/** Client messages, identifiers and the failure catalogue. */
export * from './callers/index.js';
export * from './failures/index.js';
export * from './identity/index.js';
export * from './work/index.js';
