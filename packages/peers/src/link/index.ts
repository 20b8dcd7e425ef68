/** Client side of the peer protocol: links that reconnect on their own. */
export {calculateBackoff} from './backoff.js';
export {
  NotSentReason,
  PeerFailureKind,
  UnknownReason,
  type PeerFailure,
} from './failure.js';
export {defaultPeerLinkLimits, type PeerLinkLimits} from './limits.js';
export type {PeerAnswer, PeerCalls} from './client_calls.js';
export {
  createCallLink,
  createPeerLink,
  type CallLink,
  type PeerLink,
  type PeerLinkOptions,
} from './link.js';
