/** What one peer may ask of this process before it is refused. */

/** Limits of the peers' listener. */
export interface PeerServerLimits {
  /** Size of one message, in bytes. */
  readonly maxMessageBytes: number;
  /** Connections at once. */
  readonly maxConnections: number;
  /** Calls of one connection that wait for their answers. */
  readonly maxCallsInFlight: number;
  /** Answers of one connection that its reader has not taken, in bytes. */
  readonly maxUnreadBytes: number;
  /** How long a connection may stay without any sign of life, in ms. */
  readonly idleMs: number;
  /** How long closing waits for calls in flight, in ms. */
  readonly drainMs: number;
}

const KILOBYTE = 1024;
const MEGABYTE = 1024 * KILOBYTE;

/** The limits where none are given. */
export const defaultPeerServerLimits: PeerServerLimits = {
  maxMessageBytes: 16 * MEGABYTE,
  maxConnections: 1024,
  maxCallsInFlight: 20_000,
  maxUnreadBytes: 64 * MEGABYTE,
  idleMs: 30_000,
  drainMs: 1_000,
};
