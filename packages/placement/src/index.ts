/**
 * Task placement: holders grant the slots of their backend servers, and owners
 * bind waiting tasks to the granted slots (late binding).
 */
export * from './counters.js';
export type {PoolWaiting} from './owner/index.js';
export * from './placement.js';
export * from './view.js';
