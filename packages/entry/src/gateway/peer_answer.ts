/** What a failed call to an owner means to the caller. */
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

const ASK_AGAIN_MS = 500;

/** The owner's answer, or a failure that never claims "not run" for it. */
export async function unwrap<Answer>(
  call: PeerAnswer<Answer>,
  owner: Incarnation,
): Promise<Result<Answer, Failure>> {
  const result = await call;
  if (result.isOk()) return result;
  const {error} = result;
  switch (error.kind) {
    case PeerFailureKind.Refused:
      // The listener refused, not the owner: no attempt was closed by it.
      return Err(
        error.failure.ran === RunStatus.NotRun
          ? describeUnreachable(owner)
          : error.failure,
      );
    case PeerFailureKind.NotSent:
    case PeerFailureKind.Unknown:
      return Err(describeUnreachable(owner));
  }
}

/** The owner ended; what it had started is not started again. */
export function describeLost(owner: string): Failure {
  return createFailure(FailureCode.OwnerLost, {owner});
}

/** Only the owner may say "not run": this instance cannot know. */
export function describeUnreachable(owner: Incarnation): Failure {
  return createFailure(
    FailureCode.OwnerUnreachable,
    {owner: formatIncarnation(owner)},
    {retryAfterMs: ASK_AGAIN_MS},
  );
}
