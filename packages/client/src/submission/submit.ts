/** One submission from its first copy to its end. */
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
import {ReplyKind, type Reply} from '../exchange/index.js';
import {endsSession, NextStep, type Patience} from '../retry/index.js';
import {createUnreachableFailure, type Session} from '../sessions/index.js';
import {askUntilAnswered} from './ask_again.js';
import type {ClientContext} from './context.js';
import {JobCalls} from './job_calls.js';
import {Progress} from './progress.js';

/** Pause between reads when an instance answers without waiting. */
const READ_PAUSE_MS = 100;

/** What a caller sets on one submission. */
export interface SubmitOptions {
  /** The caller's own name for the job; drawn at random when absent. */
  readonly key?: string;
  /**
   * How long the job may take, in milliseconds; goes before the job's own
   * `deadlineMs`. The client gives up soon after it.
   */
  readonly deadlineMs?: number;
  /** Cancels the job when it aborts. */
  readonly signal?: AbortSignal;
}

/** One checked job, ready to be sent. */
export interface PreparedJob {
  readonly key: string;
  /** The job as JSON text. */
  readonly body: string;
  readonly deadlineMs: number;
}

type Ended = Result<JobAnswer, Failure>;

/** Submits one job and stays with it until it ended or the patience did. */
export class Submission {
  constructor(
    private readonly context: ClientContext,
    private readonly job: PreparedJob,
    private readonly patience: Patience,
    private readonly signal: AbortSignal | undefined,
  ) {}

  /** Runs in as many sessions as it takes. */
  async run(): Promise<Ended> {
    for (;;) {
      const session = await this.awaitSession();
      if (session.isErr()) return session;
      // Used up by another call in the meantime.
      if (!session.value.hold()) continue;
      const ended = await this.runInSession(session.value).finally(() =>
        session.value.release(readClock()),
      );
      if (ended !== undefined) return ended;
    }
  }

  private async awaitSession(): Promise<Result<Session, Failure>> {
    const givingUp = new AbortController();
    const signals = [givingUp.signal, ...(this.signal ? [this.signal] : [])];
    const gaveUp = sleep(
      this.patience.remaining(readClock()),
      AbortSignal.any(signals),
    ).then(() => Err(createFailure(FailureCode.Cancelled, {}, NOTHING_RAN)));
    const session = await Promise.race([this.context.sessions.find(), gaveUp]);
    givingUp.abort();
    return session;
  }

  /** Undefined when the job has to go into a new session. */
  private async runInSession(session: Session): Promise<Ended | undefined> {
    const progress = new Progress();
    const calls = new JobCalls(session.pool, session.identity, this.job.key);
    for (;;) {
      const reply = await this.ask(progress, calls);
      switch (reply.kind) {
        case ReplyKind.Aborted:
          progress.open ||= reply.sent;
          return this.cancel(progress, calls);
        case ReplyKind.Answer:
          if (reply.body.state !== JobState.Running) return Ok(reply.body);
          progress.noteRunning();
          if (this.patience.remaining(readClock()) === 0) {
            return Err(this.createDeadlineFailure());
          }
          break;
        case ReplyKind.Lost: {
          progress.open ||= reply.sent;
          const failure = this.createLostFailure(progress);
          if (!(await this.pause(failure))) return Err(failure);
          break;
        }
        case ReplyKind.Failure: {
          if (endsSession(reply.failure.code)) session.retire();
          const {step, failure} = progress.takeFailure(reply.failure);
          if (step === NextStep.Report) return Err(failure);
          if (!(await this.pause(failure))) return Err(failure);
          if (step === NextStep.NewSession) return undefined;
          break;
        }
      }
    }
  }

  /** Sends the job until it is known to run, and then only asks for its end. */
  private async ask(
    progress: Progress,
    calls: JobCalls,
  ): Promise<Reply<JobAnswer>> {
    const startedAt = readClock();
    const remaining = Math.ceil(this.patience.remaining(startedAt));
    const waitMs = Math.min(this.context.options.waitMs, remaining);
    if (!progress.running) {
      const {attempt} = progress;
      return calls.submit(attempt, this.job.body, waitMs, this.signal);
    }
    const reply = await calls.read(waitMs, this.signal);
    if (isRunning(reply)) {
      const tooEarly = READ_PAUSE_MS - (readClock() - startedAt);
      if (tooEarly > 0) await sleep(tooEarly, this.signal);
    }
    return reply;
  }

  /** False when the submission has to give up. */
  private async pause(failure: Failure): Promise<boolean> {
    const pauseMs = this.patience.takeTry(
      readClock(),
      failure.retryAfterMs,
      Math.random(),
    );
    if (pauseMs === undefined) return false;
    await sleep(pauseMs, this.signal);
    return true;
  }

  private async cancel(progress: Progress, calls: JobCalls): Promise<Ended> {
    const ran = progress.open ? RunStatus.MayHaveRun : RunStatus.NotRun;
    const failure = createFailure(FailureCode.Cancelled, {}, {ran});
    if (!progress.open) return Err(failure);
    const answered = await askUntilAnswered(this.context, 0, () =>
      calls.cancel(),
    );
    return answered.mapErr(() => failure);
  }

  private createLostFailure(progress: Progress): Failure {
    return createUnreachableFailure(
      this.context.options.origin,
      progress.open ? RunStatus.MayHaveRun : RunStatus.NotRun,
    );
  }

  private createDeadlineFailure(): Failure {
    const {deadlineMs} = this.job;
    return createFailure(FailureCode.DeadlinePassed, {deadlineMs});
  }
}

const NOTHING_RAN = {ran: RunStatus.NotRun} as const;

function isRunning(reply: Reply<JobAnswer>): boolean {
  return (
    reply.kind === ReplyKind.Answer && reply.body.state === JobState.Running
  );
}
