/** The client's session. */
export * from './opener.js';
export * from './session.js';
