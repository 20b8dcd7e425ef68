/**
 * Submissions of clients without a session. The key-value service assigns each
 * idempotency key to a session; from then on its job is handled like any other.
 */
import {createHash} from 'node:crypto';
import type {JobOwner} from '@goldcrestpier/jobs';
import {
  RunStatus,
  type Failure,
  type SubmittedJob,
} from '@goldcrestpier/protocol';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import type {Gateway, JobResult, Wait} from './gateway.js';

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** The job that an idempotency key refers to. */
export interface ClaimedJob {
  readonly session: string;
  readonly key: string;
}

/** Assigns idempotency keys to jobs, with the same result at every instance. */
export interface IdempotencyKeyClaims {
  /** Returns the job that claimed the key first: `proposed` or another one. */
  claim(
    idempotencyKey: string,
    proposed: ClaimedJob,
  ): Promise<Result<ClaimedJob, Failure>>;
}

/** Submits jobs under an idempotency key. */
export class SessionlessGateway {
  private session: string | undefined;

  constructor(
    private readonly owner: JobOwner,
    private readonly claims: IdempotencyKeyClaims,
  ) {}

  /** Claims the key and submits the job to the owner named by the claim. */
  async submit(
    gateway: Gateway,
    idempotencyKey: string,
    job: SubmittedJob,
    wait: Wait,
    receivedAt: Millis,
  ): Promise<JobResult> {
    const session = this.getOrOpenSession(readClock());
    if (session.isErr()) return Err(toUncertainOutcome(session.error));
    const key = createHash('sha256').update(idempotencyKey).digest('base64url');
    const proposed = {session: session.value, key};
    const claimed = await this.claims.claim(idempotencyKey, proposed);
    if (claimed.isErr()) return Err(toUncertainOutcome(claimed.error));
    const submission = {...claimed.value, attempt: undefined, job, wait};
    return gateway.submit(submission, receivedAt);
  }

  /** Uses one session for all submissions until it is full or has ended. */
  private getOrOpenSession(now: Millis): Result<string, Failure> {
    if (this.session !== undefined && this.owner.isOpen(this.session, now)) {
      return Ok(this.session);
    }
    const opened = this.owner.openSession(now);
    if (opened.isErr()) return opened;
    this.session = opened.value.session;
    return Ok(this.session);
  }
}

/**
 * Replaces "not run" by "may have run". An instance that did not get the claim
 * cannot know: another instance may have claimed the key and run the job.
 */
function toUncertainOutcome(failure: Failure): Failure {
  if (failure.ran !== RunStatus.NotRun) return failure;
  const {retryAfterMs = DEFAULT_RETRY_AFTER_MS} = failure;
  return {...failure, ran: RunStatus.MayHaveRun, retryAfterMs};
}
