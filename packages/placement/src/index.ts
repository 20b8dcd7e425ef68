/**
 * Holding of backend servers, grants of their slots, and the owner's late
 * binding of tasks to them.
 */
export * from './counters.js';
export type {PoolWaiting} from './owner/index.js';
export * from './placement.js';
export * from './view.js';
