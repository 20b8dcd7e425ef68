/** An HTTP caller for tests that never retries by itself. */
import {
  failureSchema,
  jobAnswerSchema,
  sessionAnswerSchema,
  type Failure,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {Agent, request, type Dispatcher} from 'undici';

export * from './submit_until_ended.js';

const CALL_TIMEOUT_MS = 90_000;

/** Kinds of outcome of a call, as its caller saw it. */
export enum ReplyKind {
  Answer = 'job',
  Failure = 'failure',
  /** The connection ended without a response that can be parsed. */
  NoResponse = 'lost',
}

/** The outcome of a call, as its caller saw it. */
export type Reply =
  | {readonly kind: ReplyKind.Answer; readonly answer: JobAnswer}
  | {readonly kind: ReplyKind.Failure; readonly failure: Failure}
  | {readonly kind: ReplyKind.NoResponse};

/** The request body of a job. */
export interface JobBody {
  readonly team?: string;
  readonly deadlineMs?: number;
  readonly tasks: readonly object[];
}

/** Options of one submission. */
export interface SubmitOptions {
  readonly attempt?: number;
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** Creates a job with tasks for one service that each run for `runMs`. */
export function createJob(
  tasks: number,
  runMs: number,
  service = 'invoicing',
): JobBody {
  return {
    deadlineMs: 60_000,
    tasks: Array.from({length: tasks}, (_, echo) => ({
      service,
      declaredMs: runMs,
      payload: {runMs, echo},
    })),
  };
}

/** An HTTP caller of one entry instance. */
export class Caller {
  constructor(
    private readonly url: string,
    private readonly connections: Agent,
  ) {}

  /** Opens a session; throws when that is refused. */
  async openSession(): Promise<string> {
    const {body} = await this.sendRequest('POST', '/v1/sessions');
    return sessionAnswerSchema.parse(await body.json()).session;
  }

  /** Ends a session; resolves with the HTTP status. */
  async endSession(session: string): Promise<number> {
    const {statusCode, body} = await this.sendRequest(
      'DELETE',
      `/v1/sessions/${session}`,
    );
    await body.dump();
    return statusCode;
  }

  /** Sends one submission of a job in a session. */
  submit(
    session: string,
    key: string,
    job: JobBody,
    {attempt, waitMs = 60_000, signal}: SubmitOptions = {},
  ): Promise<Reply> {
    const query = new URLSearchParams({wait: String(waitMs)});
    if (attempt !== undefined) query.set('attempt', String(attempt));
    const path = `/v1/sessions/${session}/jobs/${key}?${query.toString()}`;
    return this.sendForReply('PUT', path, job, signal);
  }

  /** Sends one submission with an idempotency key and without a session. */
  submitWithIdempotencyKey(
    key: string,
    job: JobBody,
    waitMs = 60_000,
  ): Promise<Reply> {
    const headers = {'idempotency-key': key};
    return this.sendForReply(
      'POST',
      `/v1/jobs?wait=${waitMs}`,
      job,
      undefined,
      headers,
    );
  }

  /** Reads a job; waits for its end for up to `waitMs`. */
  readJob(session: string, key: string, waitMs = 60_000): Promise<Reply> {
    const path = `/v1/sessions/${session}/jobs/${key}?wait=${waitMs}`;
    return this.sendForReply('GET', path);
  }

  /** Cancels a job. */
  cancelJob(session: string, key: string): Promise<Reply> {
    return this.sendForReply('DELETE', `/v1/sessions/${session}/jobs/${key}`);
  }

  private async sendForReply(
    method: Dispatcher.HttpMethod,
    path: string,
    content?: object,
    signal?: AbortSignal,
    headers: Record<string, string> = {},
  ): Promise<Reply> {
    try {
      const text = content === undefined ? undefined : JSON.stringify(content);
      const {body} = await this.sendRequest(
        method,
        path,
        text,
        signal,
        headers,
      );
      return parseReply(await body.json());
    } catch {
      return {kind: ReplyKind.NoResponse};
    }
  }

  private sendRequest(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    signal?: AbortSignal,
    headers: Record<string, string> = {},
  ) {
    return request(`${this.url}${path}`, {
      method,
      headers,
      dispatcher: this.connections,
      headersTimeout: CALL_TIMEOUT_MS,
      ...(body === undefined ? {} : {body}),
      ...(signal === undefined ? {} : {signal}),
    });
  }
}

function parseReply(json: unknown): Reply {
  const answer = jobAnswerSchema.safeParse(json);
  if (answer.success) return {kind: ReplyKind.Answer, answer: answer.data};
  return {kind: ReplyKind.Failure, failure: failureSchema.parse(json)};
}
