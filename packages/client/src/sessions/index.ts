/** The client's session and its lifecycle. */
export * from './session_manager.js';
export * from './session.js';
