/** How calls to a peer fail, and whether the peer may have received them. */
import type {Failure} from '@goldcrestpier/protocol';

/** Whether the peer may have received a failed call. */
export enum PeerFailureKind {
  /** The call was not sent. */
  NotSent = 'not_sent',
  /** The peer may have received the call and may still be processing it. */
  Unknown = 'unknown',
  /** The peer answered with a failure, which says whether any work ran. */
  Refused = 'refused',
}

/** Why a call was not sent. */
export enum NotSentReason {
  /** The link has no open connection. */
  Disconnected = 'disconnected',
  /** Too many bytes are unsent or too many calls are pending. */
  Congested = 'congested',
  /** The message exceeds the size limit. */
  TooLarge = 'too_large',
  /** The message cannot be serialised as JSON. */
  NotSerializable = 'no_json',
}

/** Why the outcome of a sent call is unknown. */
export enum UnknownReason {
  /** No answer arrived within the call's timeout. */
  TimedOut = 'timed_out',
  /** The connection closed before the answer arrived. */
  Disconnected = 'disconnected',
  /** The answer does not match the protocol's schema. */
  Malformed = 'malformed',
}

/** How a call to a peer failed. */
export type PeerFailure =
  | {readonly kind: PeerFailureKind.NotSent; readonly reason: NotSentReason}
  | {readonly kind: PeerFailureKind.Unknown; readonly reason: UnknownReason}
  | {readonly kind: PeerFailureKind.Refused; readonly failure: Failure};

/** Creates the failure of a call that was not sent. */
export function createNotSent(reason: NotSentReason): PeerFailure {
  return {kind: PeerFailureKind.NotSent, reason};
}

/** Creates the failure of a call that the peer may have received. */
export function createUnknown(reason: UnknownReason): PeerFailure {
  return {kind: PeerFailureKind.Unknown, reason};
}

/** Carries a typed failure through the errors of tRPC's client. */
export class PeerCallError extends Error {
  constructor(readonly failure: PeerFailure) {
    super(failure.kind);
  }
}
