/** The HTTP server, the faults and the records that all stand-ins share. */
export * from './faults.js';
export * from './messages.js';
export * from './records.js';
export * from './standin_server.js';
