/** Times and limits of a link to one peer. */
export interface PeerLinkLimits {
  /** Size of one message, in bytes. */
  readonly maxMessageBytes: number;
  /** Sent messages that the peer has not taken yet, in bytes. */
  readonly maxUnsentBytes: number;
  /** Calls that wait for their answers. */
  readonly maxCallsInFlight: number;
  /** How long opening a connection may take, in ms. */
  readonly connectMs: number;
  /** Silence after which a connection is given up, in ms. */
  readonly silenceMs: number;
  /** First and longest wait before connecting again, in ms. */
  readonly firstRetryMs: number;
  readonly longestRetryMs: number;
}

const KILOBYTE = 1024;
const MEGABYTE = 1024 * KILOBYTE;

/** The limits where none are given. */
export const defaultPeerLinkLimits: PeerLinkLimits = {
  maxMessageBytes: 16 * MEGABYTE,
  maxUnsentBytes: 64 * MEGABYTE,
  maxCallsInFlight: 20_000,
  connectMs: 2_000,
  silenceMs: 3_000,
  firstRetryMs: 50,
  longestRetryMs: 2_000,
};
