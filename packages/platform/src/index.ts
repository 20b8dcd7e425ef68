/** The platform's key-value service and instance list, over HTTP. */
export * from './servers.js';
