/** One request to an entry instance and its typed reply. */
export * from './exchange.js';
export * from './reply.js';
