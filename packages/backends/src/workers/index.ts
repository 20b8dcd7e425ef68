/** Client for guarded workers. */
export * from './worker_client.js';
export type {LeaseTimes} from './worker_lease.js';
