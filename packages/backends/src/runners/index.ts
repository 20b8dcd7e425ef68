/** The client of a service's runners. */
export * from './runner_client.js';
