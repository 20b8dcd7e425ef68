/** What the callers' listener asks for, whoever the owner is. */
import type {
  Failure,
  JobAnswer,
  SessionAnswer,
  SubmittedJob,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';

/** A submission as a caller made it. */
export interface CallerSubmission {
  readonly session: string;
  readonly key: string;
  readonly attempt: number | undefined;
  readonly job: SubmittedJob;
  readonly wait: Wait;
}

/** How long an answer may wait for a job's end. */
export interface Wait {
  readonly ms: Millis;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

/** What a caller was answered for a job. */
export type JobReply = Result<JobAnswer, Failure>;

/**
 * Takes a caller's request to the owner of its session. `receivedAt` is when
 * this instance may first have received it.
 */
export interface Gateway {
  openSession(now: Millis): Result<SessionAnswer, Failure>;
  endSession(session: string): Promise<Result<void, Failure>>;
  submit(submission: CallerSubmission, receivedAt: Millis): Promise<JobReply>;
  read(session: string, key: string, wait: Wait): Promise<JobReply>;
  cancel(session: string, key: string): Promise<JobReply>;
  /** A submission under an idempotency key, without a session. */
  submitPlain(
    key: string,
    job: SubmittedJob,
    wait: Wait,
    receivedAt: Millis,
  ): Promise<JobReply>;
}
