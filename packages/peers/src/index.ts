/** The protocol between the project's own processes. */
export {
  Direction,
  noCounts,
  type CallMethods,
  type MessageCounts,
  type PeerCall,
} from './calls.js';
export * from './handlers.js';
export * from './link/index.js';
export * from './messages/index.js';
export * from './server/index.js';
export {SilenceGuard, type SilenceWatch} from './silence.js';
export {SparseLog} from './sparse_log.js';
