/** HTTP client of the operators' listener, and its address and token. */
export * from './operators_client.js';
export * from './target.js';
