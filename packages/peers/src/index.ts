/** The protocol between the project's own processes. */
export * from './handlers.js';
export * from './messages/index.js';
