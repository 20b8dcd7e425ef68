/** Ejection of servers that fail what they start. */
export * from './failure_share.js';
export * from './server_health.js';
