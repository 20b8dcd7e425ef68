/** Small stand-ins for the platform and the backend servers, with switches for faults; never shipped. */
export {};
export * from './kv/index.js';
