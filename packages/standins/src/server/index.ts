/** HTTP server, fault injection and records shared by the stand-ins. */
export * from './faults.js';
export * from './messages.js';
export * from './records.js';
export * from './standin_server.js';
