/** The scheduler that runs on the holder of a zone. */
export type {DispatchObserver, PlannedCounts, RefusedJob} from './observer.js';
export type {EndedJob} from './jobs/index.js';
export type {DelegatedRun, DelegationReport} from './intake/index.js';
export {Dispatcher} from './dispatcher.js';
export {findNextEndTime, findNextOverdueTime} from './worker_state/index.js';
export type {SoleHolder} from './ending/index.js';
export {StrikeReason} from './worker_state/index.js';
export {computeDueTimes, type JobRecord} from './jobs/index.js';
export type * from './commands.js';
export {
  DELEGATED_RUN_MAX_MS,
  FORMER_HOLDER_STOP_MS,
  MAX_COMMAND_DELAY_MS,
  computeLeaseExpiry,
  type DispatcherOptions,
} from './options.js';
