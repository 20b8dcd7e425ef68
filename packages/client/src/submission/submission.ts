/** One submission from its first request to its result. */
import {
  createFailure,
  FailureCode,
  JobState,
  RunStatus,
  type Failure,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {OutcomeKind, type RequestOutcome} from '../request/index.js';
import {endsSession, NextStep, type RetryLimits} from '../retry/index.js';
import {createUnreachableFailure, type Session} from '../sessions/index.js';
import {retryUntilAnswered} from './retry_until_answered.js';
import type {ClientContext} from './context.js';
import {JobCalls} from './job_calls.js';
import {SubmissionProgress} from './submission_progress.js';

/** Limits the rate of reads if an instance responds without waiting. */
const MIN_READ_INTERVAL_MS = 100;

/** Options of one submission. */
export interface SubmitOptions {
  /** The job's key within its session, chosen by the caller; default random. */
  readonly key?: string;
  /**
   * How long the job may take; overrides the job's own `deadlineMs`. The client
   * gives up soon after it.
   */
  readonly deadlineMs?: number;
  /** Cancels the job when it aborts. */
  readonly signal?: AbortSignal;
}

/** One validated job, ready to be sent. */
export interface PreparedJob {
  readonly key: string;
  /** The job as JSON text. */
  readonly body: string;
  readonly deadlineMs: number;
}

type JobResult = Result<JobAnswer, Failure>;

/** Submits one job and follows it until it ends or the limits are reached. */
export class Submission {
  constructor(
    private readonly context: ClientContext,
    private readonly job: PreparedJob,
    private readonly limits: RetryLimits,
    private readonly signal: AbortSignal | undefined,
  ) {}

  /** Submits the job in one session after another until there is a result. */
  async run(): Promise<JobResult> {
    for (;;) {
      const session = await this.obtainSession();
      if (session.isErr()) return session;
      // Retired by another call in the meantime.
      if (!session.value.hold()) continue;
      const result = await this.runInSession(session.value).finally(() =>
        session.value.release(readClock()),
      );
      if (result !== undefined) return result;
    }
  }

  private async obtainSession(): Promise<Result<Session, Failure>> {
    const timeoutAbort = new AbortController();
    const signals = [
      timeoutAbort.signal,
      ...(this.signal ? [this.signal] : []),
    ];
    const timedOut = sleep(
      this.limits.getRemainingMs(readClock()),
      AbortSignal.any(signals),
    ).then(() => Err(createFailure(FailureCode.Cancelled, {}, NOT_RUN)));
    const session = await Promise.race([
      this.context.sessions.obtain(),
      timedOut,
    ]);
    timeoutAbort.abort();
    return session;
  }

  /** Returns undefined if the job has to be submitted in a new session. */
  private async runInSession(session: Session): Promise<JobResult | undefined> {
    const progress = new SubmissionProgress();
    const calls = new JobCalls(session.pool, session.id, this.job.key);
    for (;;) {
      const outcome = await this.sendNextRequest(progress, calls);
      switch (outcome.kind) {
        case OutcomeKind.Aborted:
          progress.isOutcomeOpen ||= outcome.isSent;
          return this.cancel(progress, calls);
        case OutcomeKind.Answer:
          if (outcome.body.state !== JobState.Running) return Ok(outcome.body);
          progress.markRunning();
          if (this.limits.getRemainingMs(readClock()) === 0) {
            return Err(this.createDeadlineFailure());
          }
          break;
        case OutcomeKind.NoResponse: {
          progress.isOutcomeOpen ||= outcome.isSent;
          const failure = this.createNoResponseFailure(progress);
          if (!(await this.waitToRetry(failure))) return Err(failure);
          break;
        }
        case OutcomeKind.Failure: {
          if (endsSession(outcome.failure.code)) session.retire();
          const {step, failure} = progress.decide(outcome.failure);
          if (step === NextStep.Report) return Err(failure);
          if (!(await this.waitToRetry(failure))) return Err(failure);
          if (step === NextStep.NewSession) return undefined;
          break;
        }
      }
    }
  }

  /** Submits the job until it is known to run; after that, only reads it. */
  private async sendNextRequest(
    progress: SubmissionProgress,
    calls: JobCalls,
  ): Promise<RequestOutcome<JobAnswer>> {
    const startedAt = readClock();
    const remainingMs = Math.ceil(this.limits.getRemainingMs(startedAt));
    const waitMs = Math.min(this.context.options.waitMs, remainingMs);
    if (!progress.isRunning) {
      const {attempt} = progress;
      return calls.submit(attempt, this.job.body, waitMs, this.signal);
    }
    const outcome = await calls.read(waitMs, this.signal);
    if (isJobRunning(outcome)) {
      const remainingIntervalMs =
        MIN_READ_INTERVAL_MS - (readClock() - startedAt);
      if (remainingIntervalMs > 0)
        await sleep(remainingIntervalMs, this.signal);
    }
    return outcome;
  }

  /** Waits before the next try; returns false to give up instead. */
  private async waitToRetry(failure: Failure): Promise<boolean> {
    const delayMs = this.limits.takeRetryDelayMs(
      readClock(),
      failure.retryAfterMs,
      Math.random(),
    );
    if (delayMs === undefined) return false;
    await sleep(delayMs, this.signal);
    return true;
  }

  private async cancel(
    progress: SubmissionProgress,
    calls: JobCalls,
  ): Promise<JobResult> {
    const ran = progress.isOutcomeOpen
      ? RunStatus.MayHaveRun
      : RunStatus.NotRun;
    const failure = createFailure(FailureCode.Cancelled, {}, {ran});
    if (!progress.isOutcomeOpen) return Err(failure);
    const cancelled = await retryUntilAnswered(this.context, 0, () =>
      calls.cancel(),
    );
    return cancelled.mapErr(() => failure);
  }

  private createNoResponseFailure(progress: SubmissionProgress): Failure {
    return createUnreachableFailure(
      this.context.options.origin,
      progress.isOutcomeOpen ? RunStatus.MayHaveRun : RunStatus.NotRun,
    );
  }

  private createDeadlineFailure(): Failure {
    const {deadlineMs} = this.job;
    return createFailure(FailureCode.DeadlinePassed, {deadlineMs});
  }
}

const NOT_RUN = {ran: RunStatus.NotRun} as const;

function isJobRunning(outcome: RequestOutcome<JobAnswer>): boolean {
  return (
    outcome.kind === OutcomeKind.Answer &&
    outcome.body.state === JobState.Running
  );
}
