/** How far one submission has come in one session, and what follows next. */
import {FailureCode, RunStatus, type Failure} from '@goldcrestpier/protocol';
import {chooseNextStep, NextStep} from '../retry/index.js';

/** Refusals that speak of one copy alone, whoever gives them. */
const REFUSALS_OF_ONE_COPY: ReadonlySet<FailureCode> = new Set([
  FailureCode.InvalidJson,
  FailureCode.InvalidRequest,
  FailureCode.BodyTooLarge,
  FailureCode.NotFound,
  FailureCode.MethodNotAllowed,
  FailureCode.Unauthorized,
]);

/** What follows a failure, and the failure as the caller may be told it. */
export interface Decision {
  readonly step: NextStep;
  readonly failure: Failure;
}

/** How far one submission has come in one session. */
export class Progress {
  /** The attempt that the next copy carries. */
  attempt = 1;
  /** Whether a copy of it may have been taken up. */
  open = false;
  /** Whether the owner has said that the job runs. */
  running = false;

  /** Notes that the owner has the job. */
  noteRunning(): void {
    this.running = true;
    this.open = true;
  }

  /** Takes in a failure and decides what follows. */
  takeFailure(failure: Failure): Decision {
    if (failure.code === FailureCode.JobUnknown) this.running = false;
    if (this.isOnlyOfOneCopy(failure)) {
      const step = failure.final ? NextStep.Report : NextStep.SameAttempt;
      return {step, failure: {...failure, ran: RunStatus.MayHaveRun}};
    }
    const step = chooseNextStep(failure);
    this.open = failure.ran !== RunStatus.NotRun;
    if (step === NextStep.HigherAttempt) this.attempt += 1;
    return {step, failure};
  }

  /** Whether "not run" speaks of this request but not of the job. */
  private isOnlyOfOneCopy(failure: Failure): boolean {
    if (failure.ran !== RunStatus.NotRun) return false;
    if (this.running) return true;
    return this.open && REFUSALS_OF_ONE_COPY.has(failure.code);
  }
}
