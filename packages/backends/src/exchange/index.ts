/** Requests to backend servers, with what is known of each afterwards. */
export * from './server_pools.js';
export * from './types.js';
