/** The scheduler that runs on the holder of a zone. */
export type {DispatchObserver, RefusedJob} from './observer.js';
export type {EndedJob} from './registry.js';
export type {DelegatedRun, DelegationReport} from './delegation_survey.js';
export {Dispatcher} from './dispatcher.js';
export {findNextEndTime, findNextOverdueTime} from './worker_reports.js';
export type {SoleHolder} from './sole_holder.js';
export {StrikeReason} from './health.js';
export type {JobRecord} from './job_record.js';
export type * from './commands.js';
export {
  DELEGATED_RUN_MAX_MS,
  FORMER_HOLDER_STOP_MS,
  MAX_COMMAND_DELAY_MS,
  computeLeaseExpiry,
  type DispatcherOptions,
} from './options.js';
