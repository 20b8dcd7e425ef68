/** What the program prints. */
export * from './problems.js';
export * from './table.js';
export * from './values.js';
