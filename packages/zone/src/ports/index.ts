/** What this package asks of the platform and of workers. */
export * from './directory.js';
export * from './worker_port.js';
