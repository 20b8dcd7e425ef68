/**
 * What a client does after a failure. Only a true "not run" may be tried anew;
 * an open outcome is asked for again under the same identity, which the owner
 * recognises, so that nothing starts twice.
 */
import {FailureCode, RunStatus, type Failure} from '@goldcrestpier/protocol';

/** What to do next with a submission. */
export enum NextStep {
  /** Hand the failure to the caller. */
  Report = 'report',
  /** The same session, key and attempt again. */
  SameAttempt = 'same_attempt',
  /** The same session and key with the next attempt. */
  HigherAttempt = 'higher_attempt',
  /** The same job in a new session, from attempt 1. */
  NewSession = 'new_session',
}

/** Decides what follows a failure that an entry instance answered with. */
export function chooseNextStep(failure: Failure): NextStep {
  if (failure.ran === RunStatus.Ran) return NextStep.Report;
  if (failure.ran === RunStatus.MayHaveRun) {
    return failure.final ? NextStep.Report : NextStep.SameAttempt;
  }
  if (needsNewSession(failure.code)) return NextStep.NewSession;
  return failure.final ? NextStep.Report : NextStep.HigherAttempt;
}

/** Whether the session takes no further jobs after this failure. */
export function endsSession(code: FailureCode): boolean {
  return (
    needsNewSession(code) ||
    code === FailureCode.SessionEnded ||
    code === FailureCode.OwnerLost
  );
}

function needsNewSession(code: FailureCode): boolean {
  return code === FailureCode.Leaving || code === FailureCode.SessionFull;
}
