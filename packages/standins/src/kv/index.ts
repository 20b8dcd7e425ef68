/** The platform's key-value service, kept in memory, with faults to switch. */
export {type KeyValueFaults} from './faults.js';
export {
  startKeyValue,
  type KeyValueListen,
  type RunningKeyValue,
} from './server.js';
export {CallKind, type CallCounts} from './service.js';
