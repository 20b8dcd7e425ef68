/** Heartbeats to peers: schedule, send loops and remote clock readings. */
export {RemoteClocks} from './remote_clocks.js';
export {
  computeTimeout,
  computeInterval,
  defaultHeartbeatSettings,
  HeartbeatSchedule,
  type HeartbeatSettings,
  type ExchangeLoad,
} from './schedule.js';
export {Peers, type Peer} from './peers.js';
export {
  startHeartbeatLoop,
  sendHeartbeat,
  type HeartbeatDelegate,
} from './heartbeat_loop.js';
