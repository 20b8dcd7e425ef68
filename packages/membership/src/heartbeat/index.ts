/** Heartbeats to peers: schedule, send loops and remote clock readings. */
export {RemoteClocks} from './owner_clock.js';
export {
  computeTimeout,
  computeInterval,
  defaultHeartbeatSettings,
  HeartbeatSchedule,
  type HeartbeatSettings,
  type ExchangeLoad,
} from './pace.js';
export {Peers, type Peer} from './peers.js';
export {
  startHeartbeatLoop,
  sendHeartbeat,
  type HeartbeatDelegate,
} from './peer_loop.js';
