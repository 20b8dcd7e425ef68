/** Ejection of servers that fail what they start. */
export * from './pool_ejections.js';
export * from './server_health.js';
