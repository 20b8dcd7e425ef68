/** One request to an entry instance and its typed outcome. */
export * from './send_request.js';
export * from './outcome.js';
