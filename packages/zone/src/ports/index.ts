/** Interfaces to the platform and to workers, which adapters implement. */
export * from './directory.js';
export * from './worker_port.js';
