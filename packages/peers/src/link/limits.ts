/** Timeouts and limits of a link to one peer. */
export interface PeerLinkLimits {
  /** Maximum size of one message, in bytes. */
  readonly maxMessageBytes: number;
  /** Maximum size of the socket's unsent data, in bytes. */
  readonly maxBufferedBytes: number;
  /** Maximum number of calls that wait for their answers. */
  readonly maxCallsInFlight: number;
  /** Timeout for opening a connection, in ms. */
  readonly connectMs: number;
  /** Time without received data after which a connection is closed, in ms. */
  readonly silenceMs: number;
  /** Initial delay of the backoff before a reconnect, in ms. */
  readonly firstRetryMs: number;
  /** Maximum delay of the backoff before a reconnect, in ms. */
  readonly longestRetryMs: number;
}

const KILOBYTE = 1024;
const MEGABYTE = 1024 * KILOBYTE;

/** Default limits of a link. */
export const defaultPeerLinkLimits: PeerLinkLimits = {
  maxMessageBytes: 16 * MEGABYTE,
  maxBufferedBytes: 64 * MEGABYTE,
  maxCallsInFlight: 20_000,
  connectMs: 2_000,
  silenceMs: 3_000,
  firstRetryMs: 50,
  longestRetryMs: 2_000,
};
