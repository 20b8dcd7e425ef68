/** The protocol between instances: messages, links and listener. */
export {
  Direction,
  noopMessageCounter,
  type CallMethods,
  type MessageCounter,
  type PeerCallName,
} from './calls.js';
export * from './handlers.js';
export * from './link/index.js';
export * from './messages/index.js';
export * from './server/index.js';
export {
  LivenessMonitor,
  type LivenessMonitorOptions,
} from './liveness_monitor.js';
export {RateLimitedLogger} from './rate_limited_logger.js';
