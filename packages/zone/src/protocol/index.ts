/** The RPC protocol between instances. */
export * from './messages.js';
export * from './router.js';
