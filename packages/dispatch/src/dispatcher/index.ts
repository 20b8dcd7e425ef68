/** The decisions of one holder. */
export type {DispatchObserver, EndedJob} from './board.js';
export type {LentEntry, LentReport} from './lent_survey.js';
export {Dispatcher} from './dispatcher.js';
export {nextEndAt, nextOverdueAt} from './looks.js';
export {StrikeReason} from './health.js';
export type {JobRecord} from './job_record.js';
export type * from './orders.js';
export type {DispatcherOptions} from './options.js';
