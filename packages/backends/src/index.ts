/** Clients for runners and guarded workers. */
export type {ConnectionLimits} from './exchange/index.js';
export * from './runners/index.js';
export * from './start_outcome.js';
export * from './workers/index.js';
