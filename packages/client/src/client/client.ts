/** The door of the library: one client with one session. */
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
import {Patience, RetryBudget} from '../retry/index.js';
import {SessionOpener} from '../sessions/index.js';
import {
  askUntilAnswered,
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

/** Beyond the job's deadline, its answer may take this long to arrive. */
const ANSWER_GRACE_MS = 5_000;

/** Sends jobs to goldcrestpier and brings back their whole answers. */
export interface Client {
  /**
   * Submits a job and waits for its end. `Ok` holds the whole answer, of a
   * complete or of a failed job; `Err` tells why there is none and whether
   * anything may have run.
   */
  submit(
    job: JobRequest,
    options?: SubmitOptions,
  ): Promise<Result<JobAnswer, Failure>>;
  /** Reads a job, waiting up to `waitMs` milliseconds (0) for its end. */
  read(job: JobReference, waitMs?: number): Promise<Result<JobAnswer, Failure>>;
  /** Cancels a job and answers with what became of it. */
  cancel(job: JobReference): Promise<Result<JobAnswer, Failure>>;
  /** Ends the session and closes all connections. */
  close(): Promise<void>;
}

/** Creates a client. It opens its session with the first job. */
export function createClient(options: ClientOptions): Client {
  const full = resolveOptions(options);
  const budget = new RetryBudget(full.retryReserve, readClock());
  const sessions = new SessionOpener(full, budget);
  return new SessionClient({options: full, sessions, budget});
}

class SessionClient implements Client {
  /** Reads and cancellations go apart, so that no session ends with them. */
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
    this.context.budget.earn();
    const patience = new Patience(
      readClock() + prepared.value.deadlineMs + ANSWER_GRACE_MS,
      this.context.options.maxTries,
      this.context.budget,
    );
    const submission = new Submission(
      this.context,
      prepared.value,
      patience,
      options.signal,
    );
    return submission.run();
  }

  read(
    {session, key}: JobReference,
    waitMs = 0,
  ): Promise<Result<JobAnswer, Failure>> {
    const calls = new JobCalls(this.pool, session, key);
    return askUntilAnswered(this.context, waitMs, () =>
      calls.read(waitMs, undefined),
    );
  }

  cancel({session, key}: JobReference): Promise<Result<JobAnswer, Failure>> {
    const calls = new JobCalls(this.pool, session, key);
    return askUntilAnswered(this.context, 0, () => calls.cancel());
  }

  async close(): Promise<void> {
    await this.context.sessions.close();
    await this.pool.destroy();
  }
}

const submissionSchema = z.object({key: keySchema, job: jobSchema});

/** Checks the job here, so that a wrong one costs no message. */
function prepareJob(
  job: JobRequest,
  options: SubmitOptions,
): Result<PreparedJob, Failure> {
  const deadlineMs = options.deadlineMs ?? job.deadlineMs;
  const input = {
    key: options.key ?? randomUUID(),
    job: {...job, deadlineMs},
  };
  const checked = submissionSchema.safeParse(input);
  if (!checked.success) {
    const problems = toProblems(checked.error, input);
    return Err(createFailure(FailureCode.InvalidRequest, {problems}));
  }
  const {data} = checked;
  return Ok({
    key: data.key,
    body: JSON.stringify(data.job),
    deadlineMs: data.job.deadlineMs,
  });
}
