/** The decisions of one holder. */
export type {DispatchObserver, EndedJob} from './board.js';
export {Dispatcher, type Order} from './dispatcher.js';
export {StrikeReason} from './health.js';
export type {JobRecord} from './job_record.js';
export type {DispatcherOptions} from './options.js';
