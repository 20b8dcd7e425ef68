/** Callers' messages, identities and the one catalogue of failures. */
export * from './callers/index.js';
export * from './failures/index.js';
export * from './identity/index.js';
export * from './work/index.js';
