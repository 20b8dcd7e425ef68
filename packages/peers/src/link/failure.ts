/** How a call to a peer fails, and whether it may have arrived. */
import type {Failure} from '@goldcrestpier/protocol';

/** Whether a failed call may have arrived. */
export enum PeerFailureKind {
  /** Nothing left this process. */
  NotSent = 'not_sent',
  /** It may have arrived and may still be worked on. */
  Unknown = 'unknown',
  /** The peer answered with a failure, which says whether anything ran. */
  Refused = 'refused',
}

/** Why a call was not sent. */
export enum NotSentReason {
  /** There is no connection at present. */
  Disconnected = 'disconnected',
  /** The peer does not take what was sent before. */
  Congested = 'congested',
  /** The message is over the limit. */
  TooLarge = 'too_large',
  /** The message has no JSON form. */
  NoJson = 'no_json',
}

/** Why nothing is known of a call that was sent. */
export enum UnknownReason {
  TimedOut = 'timed_out',
  /** The connection ended before the answer. */
  Disconnected = 'disconnected',
  /** The answer does not have the form that the protocol gives it. */
  Malformed = 'malformed',
}

/** How a call to a peer failed. */
export type PeerFailure =
  | {readonly kind: PeerFailureKind.NotSent; readonly reason: NotSentReason}
  | {readonly kind: PeerFailureKind.Unknown; readonly reason: UnknownReason}
  | {readonly kind: PeerFailureKind.Refused; readonly failure: Failure};

/** Nothing left this process. */
export function createNotSent(reason: NotSentReason): PeerFailure {
  return {kind: PeerFailureKind.NotSent, reason};
}

/** The call may have arrived. */
export function createUnknown(reason: UnknownReason): PeerFailure {
  return {kind: PeerFailureKind.Unknown, reason};
}

/** Carries a failure through the errors of tRPC's client. */
export class PeerCallError extends Error {
  constructor(readonly failure: PeerFailure) {
    super(failure.kind);
  }
}
