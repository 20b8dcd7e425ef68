/** The promises, proved over real processes under failure. */
export * from './audit/index.js';
export * from './caller/index.js';
export * from './stage/index.js';
export * from './soak/index.js';
