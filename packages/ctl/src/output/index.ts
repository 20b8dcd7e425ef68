/** Formatting of results and errors. */
export * from './problems.js';
export * from './table.js';
export * from './values.js';
