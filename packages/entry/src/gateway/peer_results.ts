/** Translates failed calls to the owner of a session for the caller. */
import {PeerFailureKind, type PeerAnswer} from '@goldcrestpier/peers';
import {
  createFailure,
  FailureCode,
  formatIncarnation,
  RunStatus,
  type Failure,
  type Incarnation,
} from '@goldcrestpier/protocol';
import {Err, type Result} from 'ts-results-es';

const OWNER_RETRY_MS = 500;

/**
 * Returns the owner's answer or a failure for the caller. The failure is never
 * "not run": only the owner can know that.
 */
export async function unwrapPeerAnswer<Answer>(
  call: PeerAnswer<Answer>,
  owner: Incarnation,
): Promise<Result<Answer, Failure>> {
  const result = await call;
  if (result.isOk()) return result;
  const {error} = result;
  switch (error.kind) {
    case PeerFailureKind.Refused:
      // The peer's listener refused the call, not the owner. No attempt was
      // closed, so the caller must not be told "not run".
      return Err(
        error.failure.ran === RunStatus.NotRun
          ? createOwnerUnreachableFailure(owner)
          : error.failure,
      );
    case PeerFailureKind.NotSent:
    case PeerFailureKind.Unknown:
      return Err(createOwnerUnreachableFailure(owner));
  }
}

/** The owner's process has ended; tasks that it started are not restarted. */
export function createOwnerLostFailure(owner: string): Failure {
  return createFailure(FailureCode.OwnerLost, {owner});
}

/** Not "not run": this instance cannot know whether the owner ran the job. */
export function createOwnerUnreachableFailure(owner: Incarnation): Failure {
  return createFailure(
    FailureCode.OwnerUnreachable,
    {owner: formatIncarnation(owner)},
    {retryAfterMs: OWNER_RETRY_MS},
  );
}
