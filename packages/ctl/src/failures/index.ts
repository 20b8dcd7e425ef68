/** How commands fail, and the exit code of each way. */
export * from './exit_code.js';
export * from './problem.js';
