/**
 * An HTTP caller that keeps its session and connections, and retries after
 * refusals.
 */
import {
  failureSchema,
  jobAnswerSchema,
  JobState,
  RunStatus,
  sessionAnswerSchema,
  type Failure,
} from '@goldcrestpier/protocol';
import {readClock, sleep} from '@goldcrestpier/runtime';
import {Agent, request, type Dispatcher} from 'undici';

const LONG_POLL_MS = 60_000;
const CALL_TIMEOUT_MS = 75_000;
const DEFAULT_RETRY_MS = 200;
const MAX_TRIES = 12;

/** Kinds of outcome of a job, as its caller saw it. */
export enum JobOutcomeKind {
  Complete = 'complete',
  Failed = 'failed',
  Refused = 'refused',
  Lost = 'lost',
}

/** The outcome of a job, as its caller saw it. */
export interface JobOutcome {
  readonly kind: JobOutcomeKind;
  /** From the scheduled time of the job to its end, in milliseconds. */
  readonly responseMs: number;
  /** Code of each refusal, with the time until its response in milliseconds. */
  readonly refusals: ReadonlyArray<{
    readonly code: string;
    readonly ms: number;
  }>;
}

/** A job to submit. */
export interface Submission {
  readonly key: string;
  readonly body: string;
  /** Clock time from which the response time is measured. */
  readonly scheduledAt: number;
  /** Whether the job is not retried after a refusal. */
  readonly isSingleAttempt: boolean;
}

/** An HTTP caller of one entry instance, with a session of its own. */
export class Caller {
  private readonly connections = new Agent({
    connections: null,
    headersTimeout: CALL_TIMEOUT_MS,
  });
  private session: Promise<string> | undefined;

  constructor(private readonly url: string) {}

  /** Opens the session, once; jobs open it otherwise. */
  ensureSession(): Promise<string> {
    this.session ??= this.openSession();
    return this.session;
  }

  /** Submits a job and waits for its end; in its own session by default. */
  async submit(submission: Submission, session?: string): Promise<JobOutcome> {
    const refusals: Array<{code: string; ms: number}> = [];
    const createOutcome = (kind: JobOutcomeKind): JobOutcome => ({
      kind,
      responseMs: readClock() - submission.scheduledAt,
      refusals,
    });
    try {
      const sessionId = session ?? (await this.ensureSession());
      for (let attempt = 1, tries = 0; ; tries += 1) {
        const sentAt = readClock();
        const path = `/v1/sessions/${sessionId}/jobs/${submission.key}`;
        const query = `?attempt=${attempt}&wait=${LONG_POLL_MS}`;
        const {status, document} = await this.send(
          'PUT',
          path + query,
          submission.body,
        );
        if (status === 200) {
          const {state} = jobAnswerSchema.parse(document);
          const isComplete = state === JobState.Complete;
          return createOutcome(
            isComplete ? JobOutcomeKind.Complete : JobOutcomeKind.Failed,
          );
        }
        if (status === 202) continue;
        const failure = failureSchema.parse(document);
        refusals.push({code: failure.code, ms: readClock() - sentAt});
        if (!shouldRetry(failure, submission, tries)) {
          return createOutcome(JobOutcomeKind.Refused);
        }
        if (failure.ran === RunStatus.NotRun) attempt += 1;
        await sleep(failure.retryAfterMs ?? DEFAULT_RETRY_MS);
      }
    } catch {
      return createOutcome(JobOutcomeKind.Lost);
    }
  }

  /** Cancels a job and ignores the response. */
  async cancel(key: string): Promise<void> {
    try {
      const session = await this.ensureSession();
      await this.send('DELETE', `/v1/sessions/${session}/jobs/${key}`);
    } catch {
      // The response to the job's submission has its outcome.
    }
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.connections.destroy();
  }

  private async openSession(): Promise<string> {
    const {document} = await this.send('POST', '/v1/sessions');
    return sessionAnswerSchema.parse(document).session;
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
  ): Promise<{status: number; document: unknown}> {
    const {statusCode, body: answer} = await request(`${this.url}${path}`, {
      method,
      dispatcher: this.connections,
      headers: {'content-type': 'application/json'},
      body: body ?? null,
    });
    return {status: statusCode, document: await answer.json()};
  }
}

function shouldRetry(
  failure: Failure,
  {isSingleAttempt}: Submission,
  tries: number,
): boolean {
  return !failure.final && !isSingleAttempt && tries < MAX_TRIES;
}
