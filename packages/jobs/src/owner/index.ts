/**
 * The owner of sessions. Only the owner named in a session's identity starts
 * the tasks of its jobs, and only it may say that something was not run.
 */
import {
  createFailure,
  FailureCode,
  formatJob,
  Ran,
  type Failure,
  type SessionAnswer,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {digestJob} from '../digest/index.js';
import {JobRecord} from '../record/index.js';
import {KeyKind, type KeyEntry, type Session} from '../sessions/index.js';
import {
  closeAttempt,
  judgeAttempt,
  keepClosed,
  mayTryAnew,
  readClosedUpTo,
} from './attempts.js';
import {listOpenTaskIds, OpenWork} from './open_work.js';
import {createPlacedTasks} from './placed_tasks.js';
import {SessionBook} from './session_book.js';
import type {ArrivedSubmission, JobOwnerOptions} from './types.js';

export * from './types.js';

/**
 * After a stop of this process nothing tells for about so long how old a copy
 * is, so that coming back sooner would be in vain.
 */
const STALE_RETRY_MS = 1_000;

/** Keeps this incarnation's sessions and their jobs. */
export class JobOwner {
  private readonly sessions: SessionBook;
  private readonly open = new OpenWork();
  private leaving = false;

  constructor(private readonly options: JobOwnerOptions) {
    this.sessions = new SessionBook(options.self, options.limits);
  }

  /** How many jobs have not ended. */
  get openJobCount(): number {
    return this.open.jobCount;
  }

  /** How many sessions can be used. */
  get sessionCount(): number {
    return this.sessions.size;
  }

  /** The sessions that can be used. */
  listSessions(): Iterable<Session> {
    return this.sessions.list();
  }

  /** The jobs of all these sessions. */
  listJobs(): JobRecord[] {
    return [...this.sessions.list()].flatMap(each => [...each.jobs()]);
  }

  /** From now on new sessions and jobs are refused; the rest goes on. */
  leave(): void {
    this.leaving = true;
  }

  /** Opens a session. Starts nothing, so a lost answer does no harm. */
  openSession(now: Millis): Result<SessionAnswer, Failure> {
    if (this.leaving) return Err(this.refuse(this.describeLeaving()));
    const {sessionIdleMs} = this.options.limits;
    return this.sessions
      .open(now)
      .map(({id}) => ({session: id, idleMs: sessionIdleMs}))
      .mapErr(failure => this.refuse(failure));
  }

  /** Whether a session can be used and takes new keys. */
  isOpen(id: string, now: Millis): boolean {
    const found = this.sessions.find(id, now);
    return found.isOk() && !this.isFull(found.value);
  }

  /** Ends a session; every later use of it is refused. */
  endSession(id: string, now: Millis): Result<void, Failure> {
    const found = this.sessions.find(id, now);
    if (found.isErr()) return found;
    for (const job of found.value.jobs()) this.cancelJob(job, now);
    this.sessions.end(id);
    return Ok(undefined);
  }

  /** Accepts a submission, recognises it, or refuses it for ever. */
  submit(
    submission: ArrivedSubmission,
    now: Millis,
  ): Result<JobRecord, Failure> {
    const found = this.sessions.find(submission.session, now);
    if (found.isErr()) return found;
    const session = found.value;
    keepClosed(session, submission, now, this.options.limits.maxCopyAgeMs);
    const entry = session.find(submission.key);
    const digest = digestJob(submission.job);
    const known = this.recognise(entry, digest, submission);
    if (known !== undefined) return known;

    const verdict = judgeAttempt(entry, submission.attempt, now);
    if (!verdict.open) return Err(this.refuse(verdict.failure));
    if (entry === undefined && this.isFull(session)) {
      // Every later new key is refused as well, so nothing needs closing.
      const limit = {limit: this.options.limits.maxKeysPerSession};
      return Err(this.refuse(createFailure(FailureCode.SessionFull, limit)));
    }
    return this.tryAttempt(session, submission, verdict.attempt, digest, now);
  }

  /** Finds a job by its session and key. */
  read(id: string, key: string, now: Millis): Result<JobRecord, Failure> {
    const found = this.sessions.find(id, now);
    if (found.isErr()) return found;
    const entry = found.value.find(key);
    if (entry === undefined) {
      return Err(createFailure(FailureCode.JobUnknown, {key}));
    }
    if (entry.kind === KeyKind.Closed) {
      // A read closes nothing, and a copy of a new try may be under way.
      return Err({...entry.failure, ran: Ran.MayHaveRun});
    }
    return readAnswer(entry.job, key);
  }

  /** Cancels a job: every open task ends at once. */
  cancel(id: string, key: string, now: Millis): Result<JobRecord, Failure> {
    const found = this.read(id, key, now);
    if (found.isOk()) this.cancelJob(found.value, now);
    return found;
  }

  /** Notes that a task was sent to a backend server. */
  noteStart(taskId: string): void {
    this.open.startTask(taskId);
  }

  /** Notes how a task ended. */
  noteEnd(taskId: string, outcome: TaskOutcome, now: Millis): void {
    this.noteJobEnd(this.open.endTask(taskId, outcome, now), now);
  }

  /** Ends idle sessions and drops answers that were kept long enough. */
  sweep(now: Millis): void {
    this.sessions.sweep(now);
  }

  private recognise(
    entry: KeyEntry | undefined,
    digest: string,
    {key, attempt}: ArrivedSubmission,
  ): Result<JobRecord, Failure> | undefined {
    if (entry?.kind !== KeyKind.Job || mayTryAnew(entry, attempt)) {
      return undefined;
    }
    if (entry.job.header.digest === digest) return readAnswer(entry.job, key);
    // Other content that was refused before is still, truly, not run.
    if (attempt !== undefined && attempt <= entry.closedUpTo) return undefined;
    return Err(this.refuse(createFailure(FailureCode.ContentConflict, {key})));
  }

  private tryAttempt(
    session: Session,
    submission: ArrivedSubmission,
    attempt: number,
    digest: string,
    now: Millis,
  ): Result<JobRecord, Failure> {
    const closedUpTo = readClosedUpTo(session.find(submission.key));
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
    const accepted = this.accept(submission, job, now);
    if (accepted.isErr()) {
      this.options.logger.info('submission refused', {
        job: formatJob(submission.session, submission.key),
        attempt,
        code: accepted.error.code,
      });
      const failure = this.close(
        session,
        submission,
        attempt,
        accepted.error,
        now,
      );
      return Err(this.refuse(failure));
    }
    session.set(submission.key, {kind: KeyKind.Job, job, closedUpTo});
    return Ok(job);
  }

  private accept(
    submission: ArrivedSubmission,
    job: JobRecord,
    now: Millis,
  ): Result<void, Failure> {
    const {limits, checkJob, sink} = this.options;
    if (submission.ageMs >= limits.maxCopyAgeMs) {
      const limit = {limitMs: limits.maxCopyAgeMs};
      return Err(
        createFailure(FailureCode.StaleSubmission, limit, {
          retryAfterMs: STALE_RETRY_MS,
        }),
      );
    }
    if (this.leaving) return Err(this.describeLeaving());
    const checked = checkJob(submission.job);
    if (checked.isErr()) return checked;
    const tasks = createPlacedTasks(submission, now);
    // Known before they are queued: a task may end while it is enqueued.
    this.open.remember(job, tasks);
    const queued = sink.enqueue(tasks, now);
    if (queued.isErr()) this.open.forget(job, tasks);
    return queued;
  }

  /** Says "not run", which closes the attempt before the answer leaves. */
  private close(
    session: Session,
    submission: ArrivedSubmission,
    attempt: number,
    failure: Failure,
    now: Millis,
  ): Failure {
    const {maxCopyAgeMs} = this.options.limits;
    const closedMs = Math.max(failure.retryAfterMs ?? 0, maxCopyAgeMs);
    const closed = closeAttempt(attempt, failure, now + closedMs);
    session.set(submission.key, closed);
    // Without attempts the key opens only when no copy can live any more.
    if (submission.attempt !== undefined || failure.final) return failure;
    return {...failure, retryAfterMs: Math.ceil(closedMs)};
  }

  private cancelJob(job: JobRecord, now: Millis): void {
    const ids = listOpenTaskIds(job);
    if (ids.length === 0) return;
    this.options.sink.cancel(ids, now);
    this.noteJobEnd(this.open.cancelJob(job, now), now);
  }

  private noteJobEnd(job: JobRecord | undefined, now: Millis): void {
    if (job === undefined) return;
    const ms = Math.round(now - job.header.acceptedAt);
    this.options.counters.countJob(job.state, ms);
    const fields = {job: formatJob(job.header.session, job.header.key), ms};
    if (job.failureCode === undefined) {
      this.options.logger.debug('job is complete', fields);
      return;
    }
    const code = job.failureCode;
    this.options.logger.info('job failed', {...fields, code});
  }

  private isFull(session: Session): boolean {
    return session.keyCount >= this.options.limits.maxKeysPerSession;
  }

  private describeLeaving(): Failure {
    const {instance} = this.options.self;
    return createFailure(
      FailureCode.Leaving,
      {instance},
      {retryAfterMs: 0, ran: Ran.NotRun},
    );
  }

  private refuse(failure: Failure): Failure {
    this.options.counters.countRefusal(failure);
    return failure;
  }
}

function readAnswer(job: JobRecord, key: string): Result<JobRecord, Failure> {
  if (!job.answerExpired) return Ok(job);
  return Err(createFailure(FailureCode.AnswerExpired, {key}));
}
