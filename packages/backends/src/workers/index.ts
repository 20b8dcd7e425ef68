/** The client of the guarded workers. */
export * from './worker_client.js';
export type {LeaseTimes} from './worker_lease.js';
