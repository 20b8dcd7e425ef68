/** Lifecycle, logging, event streams and timers shared by all packages. */
export * from './clock/index.js';
export * from './expiring_map/index.js';
export * from './lifecycle/index.js';
export * from './logger/index.js';
export * from './logger/bounded_output.js';
export * from './stream/index.js';
export * from './wakeup/index.js';
