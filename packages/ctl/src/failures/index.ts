/** Errors of commands and their exit codes. */
export * from './exit_code.js';
export * from './problem.js';
