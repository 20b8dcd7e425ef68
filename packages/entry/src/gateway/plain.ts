/**
 * Plain clients have no session. The key-value service decides which session
 * stands behind their idempotency key; from then on it is a job like others.
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
import type {Gateway, JobReply, Wait} from './types.js';

const ASK_AGAIN_MS = 1_000;

/** The job that stands behind an idempotency key. */
export interface ClaimedJob {
  readonly session: string;
  readonly key: string;
}

/** Decides, once for all instances, which job an idempotency key names. */
export interface Claims {
  /** The claim that holds: the one proposed, or an earlier one. */
  claim(
    idempotencyKey: string,
    proposed: ClaimedJob,
  ): Promise<Result<ClaimedJob, Failure>>;
}

/** Serves submissions under an idempotency key. */
export class PlainGateway {
  private session: string | undefined;

  constructor(
    private readonly owner: JobOwner,
    private readonly claims: Claims,
  ) {}

  /** Claims the key and submits to the owner that the claim names. */
  async submit(
    gateway: Gateway,
    idempotencyKey: string,
    job: SubmittedJob,
    wait: Wait,
    receivedAt: Millis,
  ): Promise<JobReply> {
    const session = this.findSession(readClock());
    if (session.isErr()) return Err(doubt(session.error));
    const key = createHash('sha256').update(idempotencyKey).digest('base64url');
    const proposed = {session: session.value, key};
    const claimed = await this.claims.claim(idempotencyKey, proposed);
    if (claimed.isErr()) return Err(doubt(claimed.error));
    const submission = {...claimed.value, attempt: undefined, job, wait};
    return gateway.submit(submission, receivedAt);
  }

  /** One session serves all plain submissions until it is full or ended. */
  private findSession(now: Millis): Result<string, Failure> {
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
 * A copy at another instance may have been claimed and run meanwhile, so an
 * instance that did not claim the key cannot say "not run" of it.
 */
function doubt(failure: Failure): Failure {
  if (failure.ran !== RunStatus.NotRun) return failure;
  const {retryAfterMs = ASK_AGAIN_MS} = failure;
  return {...failure, ran: RunStatus.MayHaveRun, retryAfterMs};
}
