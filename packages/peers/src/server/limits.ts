/** Limits that protect this process from its peers. */

/** Timeouts and limits of the peer listener. */
export interface PeerServerLimits {
  /** Maximum size of one message, in bytes. */
  readonly maxMessageBytes: number;
  /** Maximum number of concurrent connections. */
  readonly maxConnections: number;
  /** Maximum number of unanswered calls per connection. */
  readonly maxCallsInFlight: number;
  /** Maximum size of a connection's unsent answers, in bytes. */
  readonly maxBufferedBytes: number;
  /** Time without received data after which a connection is closed, in ms. */
  readonly silenceTimeoutMs: number;
  /** Maximum time that closing waits for calls in flight, in ms. */
  readonly drainMs: number;
}

const KILOBYTE = 1024;
const MEGABYTE = 1024 * KILOBYTE;

/** Default limits of a listener. */
export const defaultPeerServerLimits: PeerServerLimits = {
  maxMessageBytes: 16 * MEGABYTE,
  maxConnections: 1024,
  maxCallsInFlight: 20_000,
  maxBufferedBytes: 64 * MEGABYTE,
  silenceTimeoutMs: 30_000,
  drainMs: 1_000,
};
