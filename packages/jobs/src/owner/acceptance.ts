/** Decides whether a submitted job is accepted, and hands over its tasks. */
import {
  createFailure,
  FailureCode,
  RunStatus,
  type Failure,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import type {JobRecord} from '../record/index.js';
import type {OpenJobIndex} from './open_job_index.js';
import {createPlacementTasks} from './placement_tasks.js';
import type {JobOwnerOptions, ReceivedSubmission} from './types.js';

/**
 * After this process was paused, the age of a submission cannot be determined
 * for about this long, so an earlier retry would be refused as well.
 */
const STALE_RETRY_MS = 1_000;

/** Accepts jobs until this instance leaves. */
export class JobAcceptance {
  private isLeaving = false;

  constructor(
    private readonly options: JobOwnerOptions,
    private readonly openJobs: OpenJobIndex,
  ) {}

  /** Refuses every job from now on. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Fails once this instance leaves. */
  checkNotLeaving(): Result<void, Failure> {
    if (!this.isLeaving) return Ok(undefined);
    const {instance} = this.options.self;
    return Err(
      createFailure(
        FailureCode.Leaving,
        {instance},
        {retryAfterMs: 0, ran: RunStatus.NotRun},
      ),
    );
  }

  /** Enqueues the tasks of a job. After a failure, none of them runs. */
  accept(
    submission: ReceivedSubmission,
    job: JobRecord,
    now: Millis,
  ): Result<void, Failure> {
    const {checkJob, sink} = this.options;
    const checked = this.checkAge(submission)
      .andThen(() => this.checkNotLeaving())
      .andThen(() => checkJob(submission.job));
    if (checked.isErr()) return checked;
    const tasks = createPlacementTasks(submission, now);
    // Indexed before being enqueued, because a task may end during the call.
    this.openJobs.addJob(job, tasks);
    const queued = sink.enqueue(tasks, now);
    if (queued.isErr()) this.openJobs.removeJob(job, tasks);
    return queued;
  }

  private checkAge({ageMs}: ReceivedSubmission): Result<void, Failure> {
    const {maxCopyAgeMs: limitMs} = this.options.limits;
    if (ageMs >= limitMs) {
      return Err(
        createFailure(
          FailureCode.StaleSubmission,
          {limitMs},
          {retryAfterMs: STALE_RETRY_MS},
        ),
      );
    }
    return Ok(undefined);
  }
}
