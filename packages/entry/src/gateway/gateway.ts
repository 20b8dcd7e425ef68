/** Interface between the callers' listener and the owners of sessions. */
import type {
  Failure,
  JobAnswer,
  SessionAnswer,
  SubmittedJob,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';

/** A submission as received from a caller. */
export interface CallerSubmission {
  readonly session: string;
  readonly key: string;
  readonly attempt: number | undefined;
  readonly job: SubmittedJob;
  readonly wait: Wait;
}

/** How long a response may be delayed until the job ends. */
export interface Wait {
  readonly ms: Millis;
  /** Aborts when the connection to the caller is closed. */
  readonly signal: AbortSignal;
}

/** The answer of a job, or why there is none. */
export type JobResult = Result<JobAnswer, Failure>;

/**
 * Routes a caller's requests to the owner of their session. `receivedAt` is a
 * lower bound for the time at which this instance received the request.
 */
export interface Gateway {
  openSession(now: Millis): Result<SessionAnswer, Failure>;
  endSession(session: string): Promise<Result<void, Failure>>;
  submit(submission: CallerSubmission, receivedAt: Millis): Promise<JobResult>;
  read(session: string, key: string, wait: Wait): Promise<JobResult>;
  cancel(session: string, key: string): Promise<JobResult>;
  /** Submits a job under an idempotency key, without a session. */
  submitWithoutSession(
    key: string,
    job: SubmittedJob,
    wait: Wait,
    receivedAt: Millis,
  ): Promise<JobResult>;
}
