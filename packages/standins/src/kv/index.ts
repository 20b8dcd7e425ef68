/** Stand-in for the platform's key-value service: in memory, with faults. */
export {type KeyValueFaults} from './faults.js';
export {
  startKeyValue,
  type KeyValueOptions,
  type RunningKeyValue,
} from './server.js';
export {CallKind, type CallCounts} from './service.js';
