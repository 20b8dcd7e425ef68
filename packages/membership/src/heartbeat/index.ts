/** Heartbeats to peers, their pace and the clocks they carry. */
export {OwnerClocks} from './owner_clock.js';
export {
  choosePatience,
  chooseInterval,
  defaultPaceSettings,
  Pace,
  type PaceSettings,
  type PeerLoad,
} from './pace.js';
export {Peers, type Peer} from './peers.js';
export {runPeerLoop, sendHeartbeat, type PeerLoopOwner} from './peer_loop.js';
