/** The progress of one submission in one session, and its next step. */
import {FailureCode, RunStatus, type Failure} from '@goldcrestpier/protocol';
import {chooseNextStep, NextStep} from '../retry/index.js';

/** Refusals that concern one request only, whichever instance returns them. */
const REQUEST_LEVEL_REFUSALS: ReadonlySet<FailureCode> = new Set([
  FailureCode.InvalidJson,
  FailureCode.InvalidRequest,
  FailureCode.BodyTooLarge,
  FailureCode.NotFound,
  FailureCode.MethodNotAllowed,
  FailureCode.Unauthorized,
]);

/** The next step after a failure, and the failure to report to the caller. */
export interface Decision {
  readonly step: NextStep;
  readonly failure: Failure;
}

/** The progress of one submission in one session. */
export class SubmissionProgress {
  /** The attempt number of the next request. */
  attempt = 1;
  /** Whether an earlier request of the submission may have been accepted. */
  isOutcomeOpen = false;
  /** Whether the owner has reported that the job is running. */
  isRunning = false;

  /** Records that the owner has accepted the job. */
  markRunning(): void {
    this.isRunning = true;
    this.isOutcomeOpen = true;
  }

  /** Records a failure and decides the next step. */
  decide(failure: Failure): Decision {
    if (failure.code === FailureCode.JobUnknown) this.isRunning = false;
    if (this.concernsRequestOnly(failure)) {
      const step = failure.final ? NextStep.Report : NextStep.SameAttempt;
      return {step, failure: {...failure, ran: RunStatus.MayHaveRun}};
    }
    const step = chooseNextStep(failure);
    this.isOutcomeOpen = failure.ran !== RunStatus.NotRun;
    if (step === NextStep.HigherAttempt) this.attempt += 1;
    return {step, failure};
  }

  /** Whether "not run" is true of this request but not known of the job. */
  private concernsRequestOnly(failure: Failure): boolean {
    if (failure.ran !== RunStatus.NotRun) return false;
    if (this.isRunning) return true;
    return this.isOutcomeOpen && REQUEST_LEVEL_REFUSALS.has(failure.code);
  }
}
