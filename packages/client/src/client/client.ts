/** The public client, which submits all its jobs in one session. */
import {randomUUID} from 'node:crypto';
import {
  createFailure,
  FailureCode,
  jobSchema,
  keySchema,
  toProblems,
  type Failure,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {readClock} from '@goldcrestpier/runtime';
import {Err, Ok, type Result} from 'ts-results-es';
import {Pool} from 'undici';
import {z} from 'zod';
import {RetryLimits, RetryBudget} from '../retry/index.js';
import {SessionManager} from '../sessions/index.js';
import {
  retryUntilAnswered,
  JobCalls,
  Submission,
  type ClientContext,
  type PreparedJob,
  type SubmitOptions,
} from '../submission/index.js';
import {
  resolveOptions,
  type ClientOptions,
  type JobReference,
  type JobRequest,
} from './options.js';

/** How long after a job's deadline its answer may still arrive. */
const DEADLINE_GRACE_MS = 5_000;

/** Submits jobs to goldcrestpier and returns their whole answers. */
export interface Client {
  /**
   * Submits a job and waits for its end. `Ok` holds the whole answer of a job
   * that completed or failed; `Err` says why there is none and whether anything
   * may have run.
   */
  submit(
    job: JobRequest,
    options?: SubmitOptions,
  ): Promise<Result<JobAnswer, Failure>>;
  /** Reads a job, waiting up to `waitMs` (default 0) for its end. */
  read(job: JobReference, waitMs?: number): Promise<Result<JobAnswer, Failure>>;
  /** Cancels a job and returns its final state. */
  cancel(job: JobReference): Promise<Result<JobAnswer, Failure>>;
  /** Ends the session and closes all connections. */
  close(): Promise<void>;
}

/** Creates a client, which opens its session for the first job. */
export function createClient(options: ClientOptions): Client {
  const resolved = resolveOptions(options);
  const budget = new RetryBudget(resolved.retryReserve, readClock());
  const sessions = new SessionManager(resolved, budget);
  return new SessionClient({options: resolved, sessions, budget});
}

class SessionClient implements Client {
  /** For reads and cancellations, which neither hold nor retire a session. */
  private readonly pool: Pool;

  constructor(private readonly context: ClientContext) {
    this.pool = new Pool(context.options.origin, {
      connections: context.options.connections,
      connect: {timeout: context.options.connectTimeoutMs},
    });
  }

  async submit(
    job: JobRequest,
    options: SubmitOptions = {},
  ): Promise<Result<JobAnswer, Failure>> {
    const prepared = prepareJob(job, options);
    if (prepared.isErr()) return prepared;
    this.context.budget.countSubmission();
    const limits = new RetryLimits(
      readClock() + prepared.value.deadlineMs + DEADLINE_GRACE_MS,
      this.context.options.maxTries,
      this.context.budget,
    );
    const submission = new Submission(
      this.context,
      prepared.value,
      limits,
      options.signal,
    );
    return submission.run();
  }

  read(
    {session, key}: JobReference,
    waitMs = 0,
  ): Promise<Result<JobAnswer, Failure>> {
    const calls = new JobCalls(this.pool, session, key);
    return retryUntilAnswered(this.context, waitMs, () =>
      calls.read(waitMs, undefined),
    );
  }

  cancel({session, key}: JobReference): Promise<Result<JobAnswer, Failure>> {
    const calls = new JobCalls(this.pool, session, key);
    return retryUntilAnswered(this.context, 0, () => calls.cancel());
  }

  async close(): Promise<void> {
    await this.context.sessions.close();
    await this.pool.destroy();
  }
}

const submissionSchema = z.object({key: keySchema, job: jobSchema});

/** Validates the job locally, so that an invalid one is not sent. */
function prepareJob(
  job: JobRequest,
  options: SubmitOptions,
): Result<PreparedJob, Failure> {
  const deadlineMs = options.deadlineMs ?? job.deadlineMs;
  const input = {
    key: options.key ?? randomUUID(),
    job: {...job, deadlineMs},
  };
  const parsed = submissionSchema.safeParse(input);
  if (!parsed.success) {
    const problems = toProblems(parsed.error, input);
    return Err(createFailure(FailureCode.InvalidRequest, {problems}));
  }
  const {data} = parsed;
  return Ok({
    key: data.key,
    body: JSON.stringify(data.job),
    deadlineMs: data.job.deadlineMs,
  });
}
