/**
 * Decides what a client does after a failure. Only a job that has certainly not
 * run is submitted as a new attempt. If it may have run, the same session, key
 * and attempt are sent again, which the owner recognizes, so that nothing
 * starts twice.
 */
import {FailureCode, RunStatus, type Failure} from '@goldcrestpier/protocol';

/** What to do with a submission after a failure. */
export enum NextStep {
  /** Return the failure to the caller. */
  Report = 'report',
  /** Send the same session, key and attempt again. */
  SameAttempt = 'same_attempt',
  /** Send the same session and key with the next attempt. */
  HigherAttempt = 'higher_attempt',
  /** Send the same job in a new session, from attempt 1. */
  NewSession = 'new_session',
}

/** Decides what to do after a failure that an entry instance returned. */
export function chooseNextStep(failure: Failure): NextStep {
  if (failure.ran === RunStatus.Ran) return NextStep.Report;
  if (failure.ran === RunStatus.MayHaveRun) {
    return failure.final ? NextStep.Report : NextStep.SameAttempt;
  }
  if (requiresNewSession(failure.code)) return NextStep.NewSession;
  return failure.final ? NextStep.Report : NextStep.HigherAttempt;
}

/** Whether the session accepts no further jobs after this failure. */
export function endsSession(code: FailureCode): boolean {
  return (
    requiresNewSession(code) ||
    code === FailureCode.SessionEnded ||
    code === FailureCode.OwnerLost
  );
}

function requiresNewSession(code: FailureCode): boolean {
  return code === FailureCode.Leaving || code === FailureCode.SessionFull;
}
