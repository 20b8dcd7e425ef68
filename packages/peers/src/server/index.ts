/** Server side of the peer protocol. */
export {
  procedure,
  createRouter,
  withCallLimit,
  type PeerContext,
} from './router.js';
export {defaultPeerServerLimits, type PeerServerLimits} from './limits.js';
export {
  startCallServer,
  startPeerServer,
  type CallServerOptions,
  type ListenAddress,
  type ListenFailure,
  type PeerServer,
  type PeerServerOptions,
} from './server.js';
