/** The peers' listener. */
export {call, createRouter, take, type PeerContext} from './router.js';
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
