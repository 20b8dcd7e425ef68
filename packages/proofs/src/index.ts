/** Tests of the system's guarantees over real processes under failure. */
export * from './assertions/index.js';
export * from './caller/index.js';
export * from './fixture/index.js';
export * from './soak/index.js';
