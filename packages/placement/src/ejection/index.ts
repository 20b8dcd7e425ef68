/** Outlier ejection: keeps failing servers from new work. */
export * from './pool_ejections.js';
export * from './server_health.js';
