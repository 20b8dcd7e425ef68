/** HTTP exchanges with backend servers over bounded connection pools. */
export * from './server_pools.js';
export * from './types.js';
