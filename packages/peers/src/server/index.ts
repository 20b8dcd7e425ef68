/** The peers' listener. */
export {defaultPeerServerLimits, type PeerServerLimits} from './limits.js';
export {
  startPeerServer,
  type ListenAddress,
  type ListenFailure,
  type PeerServer,
  type PeerServerOptions,
} from './server.js';
