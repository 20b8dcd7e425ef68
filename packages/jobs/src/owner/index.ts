/**
 * Owns sessions and their jobs. Only the incarnation named in a session's id
 * starts the tasks of its jobs, and only it may answer "not run".
 */
import {
  createFailure,
  FailureCode,
  formatJobId,
  RunStatus,
  type Failure,
  type SessionAnswer,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {digestJob} from '../digest/index.js';
import {JobRecord} from '../record/index.js';
import {KeyKind, type KeyEntry, type Session} from '../sessions/index.js';
import {JobAcceptance} from './acceptance.js';
import {
  canRetryKey,
  checkAttempt,
  closeRefusedAttempt,
  extendClosure,
  getClosedUpTo,
} from './attempts.js';
import {listOpenTaskIds, OpenJobIndex} from './open_job_index.js';
import {SessionRegistry} from './session_registry.js';
import type {ReceivedSubmission, JobOwnerOptions} from './types.js';

export * from './types.js';

/** Accepts, tracks and ends the sessions and jobs of this incarnation. */
export class JobOwner {
  private readonly sessions: SessionRegistry;
  private readonly openJobs = new OpenJobIndex();
  private readonly acceptance: JobAcceptance;

  constructor(private readonly options: JobOwnerOptions) {
    this.sessions = new SessionRegistry(options.self, options.limits);
    this.acceptance = new JobAcceptance(options, this.openJobs);
  }

  /** Number of jobs that have not ended. */
  get openJobCount(): number {
    return this.openJobs.jobCount;
  }

  /** Number of open sessions. */
  get sessionCount(): number {
    return this.sessions.size;
  }

  /** Lists the open sessions. */
  listSessions(): Iterable<Session> {
    return this.sessions.list();
  }

  /** Lists the jobs of all open sessions. */
  listJobs(): JobRecord[] {
    return [...this.sessions.list()].flatMap(each => [...each.jobs()]);
  }

  /** Refuses new sessions and jobs from now on; accepted jobs continue. */
  leave(): void {
    this.acceptance.leave();
  }

  /** Opens a session. Starts no task, so losing the response is harmless. */
  openSession(now: Millis): Result<SessionAnswer, Failure> {
    const checked = this.acceptance.checkNotLeaving();
    if (checked.isErr()) return Err(this.refuse(checked.error));
    const {sessionIdleMs} = this.options.limits;
    return this.sessions
      .open(now)
      .map(({id}) => ({session: id, idleMs: sessionIdleMs}))
      .mapErr(failure => this.refuse(failure));
  }

  /** Whether a session exists and accepts new keys. */
  isOpen(id: string, now: Millis): boolean {
    const found = this.sessions.find(id, now);
    return found.isOk() && !this.isFull(found.value);
  }

  /** Cancels the jobs of a session and ends it; later requests fail. */
  endSession(id: string, now: Millis): Result<void, Failure> {
    const found = this.sessions.find(id, now);
    if (found.isErr()) return found;
    for (const job of found.value.jobs()) this.cancelJob(job, now);
    this.sessions.end(id);
    return Ok(undefined);
  }

  /** Accepts a submission, returns the job of its key, or refuses it. */
  submit(
    submission: ReceivedSubmission,
    now: Millis,
  ): Result<JobRecord, Failure> {
    const found = this.sessions.find(submission.session, now);
    if (found.isErr()) return found;
    const session = found.value;
    extendClosure(session, submission, now, this.options.limits.maxCopyAgeMs);
    const entry = session.find(submission.key);
    const digest = digestJob(submission.job);
    const submittedJob = this.findSubmittedJob(entry, digest, submission);
    if (submittedJob !== undefined) return submittedJob;

    const check = checkAttempt(entry, submission.attempt, now);
    if (!check.isAllowed) return Err(this.refuse(check.failure));
    if (entry === undefined && this.isFull(session)) {
      // No attempt needs closing: a full session refuses every new key.
      const limit = {limit: this.options.limits.maxKeysPerSession};
      return Err(this.refuse(createFailure(FailureCode.SessionFull, limit)));
    }
    return this.processAttempt(session, submission, check.attempt, digest, now);
  }

  /** Finds a job by its session id and key. */
  read(id: string, key: string, now: Millis): Result<JobRecord, Failure> {
    const found = this.sessions.find(id, now);
    if (found.isErr()) return found;
    const entry = found.value.find(key);
    if (entry === undefined) {
      return Err(createFailure(FailureCode.JobUnknown, {key}));
    }
    if (entry.kind === KeyKind.Closed) {
      // A read closes no attempt, and a newer submission may be in transit.
      return Err({...entry.failure, ran: RunStatus.MayHaveRun});
    }
    return getAnswer(entry.job, key);
  }

  /** Cancels a job; all its open tasks end immediately. */
  cancel(id: string, key: string, now: Millis): Result<JobRecord, Failure> {
    const found = this.read(id, key, now);
    if (found.isOk()) this.cancelJob(found.value, now);
    return found;
  }

  /** Records that a task was sent to a backend server. */
  recordTaskStart(taskId: string): void {
    this.openJobs.startTask(taskId);
  }

  /** Records the outcome of a task. */
  recordTaskEnd(taskId: string, outcome: TaskOutcome, now: Millis): void {
    this.recordJobEnd(this.openJobs.endTask(taskId, outcome, now), now);
  }

  /** Ends idle sessions and drops answers past their retention time. */
  sweep(now: Millis): void {
    this.sessions.sweep(now);
  }

  private findSubmittedJob(
    entry: KeyEntry | undefined,
    digest: string,
    {key, attempt}: ReceivedSubmission,
  ): Result<JobRecord, Failure> | undefined {
    if (entry?.kind !== KeyKind.Job || canRetryKey(entry, attempt)) {
      return undefined;
    }
    if (entry.job.header.digest === digest) return getAnswer(entry.job, key);
    // Different content whose attempt was closed earlier is still "not run".
    if (attempt !== undefined && attempt <= entry.closedUpTo) return undefined;
    return Err(this.refuse(createFailure(FailureCode.ContentConflict, {key})));
  }

  private processAttempt(
    session: Session,
    submission: ReceivedSubmission,
    attempt: number,
    digest: string,
    now: Millis,
  ): Result<JobRecord, Failure> {
    const closedUpTo = getClosedUpTo(session.find(submission.key));
    const job = new JobRecord(
      {
        session: submission.session,
        key: submission.key,
        attempt,
        digest,
        team: submission.job.team,
        acceptedAt: now,
      },
      submission.job.tasks.length,
    );
    const accepted = this.acceptance.accept(submission, job, now);
    if (accepted.isErr()) {
      this.options.logger.info('submission refused', {
        job: formatJobId(submission.session, submission.key),
        attempt,
        code: accepted.error.code,
      });
      const {maxCopyAgeMs} = this.options.limits;
      const refused = {attempt, failure: accepted.error};
      const failure = closeRefusedAttempt(
        session,
        submission,
        refused,
        now,
        maxCopyAgeMs,
      );
      return Err(this.refuse(failure));
    }
    session.set(submission.key, {kind: KeyKind.Job, job, closedUpTo});
    return Ok(job);
  }

  private cancelJob(job: JobRecord, now: Millis): void {
    const ids = listOpenTaskIds(job);
    if (ids.length === 0) return;
    this.options.sink.cancel(ids, now);
    this.recordJobEnd(this.openJobs.cancelJob(job, now), now);
  }

  private recordJobEnd(job: JobRecord | undefined, now: Millis): void {
    if (job === undefined) return;
    const ms = Math.round(now - job.header.acceptedAt);
    this.options.counters.countJob(job.state, ms);
    const fields = {job: formatJobId(job.header.session, job.header.key), ms};
    if (job.failureCode === undefined) {
      this.options.logger.debug('job completed', fields);
      return;
    }
    const code = job.failureCode;
    this.options.logger.info('job failed', {...fields, code});
  }

  private isFull(session: Session): boolean {
    return session.keyCount >= this.options.limits.maxKeysPerSession;
  }

  private refuse(failure: Failure): Failure {
    this.options.counters.countRefusal(failure);
    return failure;
  }
}

function getAnswer(job: JobRecord, key: string): Result<JobRecord, Failure> {
  if (!job.isAnswerExpired) return Ok(job);
  return Err(createFailure(FailureCode.AnswerExpired, {key}));
}
