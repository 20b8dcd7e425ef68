/** Why a call to the platform failed, and whether it may have taken effect. */
import {
  createFailure,
  FailureCode,
  RunStatus,
  type Failure,
} from '@goldcrestpier/protocol';

/** Why a call to the platform failed. */
export enum PlatformFailureReason {
  /** No endpoint could be connected to; nothing was sent. */
  Unreachable = 'unreachable',
  /** A read timed out or lost its connection. */
  TimedOut = 'timed_out',
  /** A write was sent but got no response: it may have taken effect. */
  OutcomeUnknown = 'outcome_unknown',
  /** The service returned an error. */
  Refused = 'refused',
  /** The call's lease no longer exists. */
  LeaseGone = 'lease_gone',
  /** The response does not conform to the published protocol. */
  Malformed = 'malformed',
}

/** A failed call to the platform. */
export interface PlatformFailure {
  readonly reason: PlatformFailureReason;
  /** The path of the call, such as `kv/txn`. */
  readonly call: string;
  /** How the last endpoint tried failed. Never contains a stored value. */
  readonly detail: string;
  /** True for a write that may have been carried out despite the failure. */
  readonly mayHaveTakenEffect: boolean;
}

/** Creates the failure that is returned to callers and operators. */
export function toFailure(
  failure: PlatformFailure,
  retryAfterMs: number,
): Failure {
  const reason = `${failure.call} ${failure.reason}, ${failure.detail}`;
  const ran = failure.mayHaveTakenEffect
    ? RunStatus.MayHaveRun
    : RunStatus.NotRun;
  return createFailure(
    FailureCode.PlatformUnavailable,
    {reason},
    {retryAfterMs, ran},
  );
}
