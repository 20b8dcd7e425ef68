/** Generated documentation of the HTTP interfaces. */
export * from './failure_table/index.js';
export * from './files/index.js';
export * from './openapi/index.js';
