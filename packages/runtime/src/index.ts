/** Life cycle, logger, streams and clock that every part is handed. */
export * from './clock/index.js';
export * from './lifecycle/index.js';
export * from './logger/index.js';
export * from './logger/bounded_output.js';
export * from './stream/index.js';
export * from './wakeup/index.js';
