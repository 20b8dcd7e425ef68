/** Clients of the platform's key-value service and instance list, over HTTP. */
export * from './claims/index.js';
export * from './failure.js';
export * from './instance_list/index.js';
export * from './journal/index.js';
export * from './key_value/index.js';
export * from './servers.js';
