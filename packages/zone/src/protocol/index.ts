/** The RPC protocol between instances. */
export * from './configuration.js';
export * from './job_inquiry.js';
export * from './messages.js';
export * from './router.js';
