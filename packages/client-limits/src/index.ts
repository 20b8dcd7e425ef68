/** Limits of what clients make a process hold: memory, connections and time. */
export {CloseReason} from './close_reason.js';
export type {ClientCounters} from './client_counters.js';
export {ClientLimits, type MachineLimits} from './client_limits.js';
export type {RequestMemory} from './request_memory.js';
export {watchClose} from './watch_close.js';
