/** Client for the runners of a service. */
export * from './runner_client.js';
