/** A caller that sends just what a test says, and resends nothing by itself. */
import {
  failureSchema,
  jobAnswerSchema,
  sessionAnswerSchema,
  type Failure,
  type JobAnswer,
} from '@goldcrestpier/protocol';
import {Agent, request, type Dispatcher} from 'undici';

export * from './patient.js';

const LONGEST_CALL_MS = 90_000;

/** How a call ended, as its caller saw it. */
export enum ReplyKind {
  Job = 'job',
  Failure = 'failure',
  /** No answer came. */
  Lost = 'lost',
}

/** How a call ended, as its caller saw it. */
export type Reply =
  | {readonly kind: ReplyKind.Job; readonly answer: JobAnswer}
  | {readonly kind: ReplyKind.Failure; readonly failure: Failure}
  | {readonly kind: ReplyKind.Lost};

/** A job in the form in which it is sent. */
export interface JobBody {
  readonly team?: string;
  readonly deadlineMs?: number;
  readonly tasks: readonly object[];
}

/** What one submission says beside the job. */
export interface SubmitChoice {
  readonly attempt?: number;
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** Tasks of one service that each take `runMs`. */
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

/** A plain HTTP caller of one entry instance. */
export class Caller {
  constructor(
    private readonly url: string,
    private readonly connections: Agent,
  ) {}

  /** Opens a session; throws when that is refused. */
  async openSession(): Promise<string> {
    const {body} = await this.send('POST', '/v1/sessions');
    return sessionAnswerSchema.parse(await body.json()).session;
  }

  /** Ends a session; resolves with the status. */
  async endSession(session: string): Promise<number> {
    const {statusCode, body} = await this.send(
      'DELETE',
      `/v1/sessions/${session}`,
    );
    await body.dump();
    return statusCode;
  }

  /** Sends one copy of a submission. */
  submit(
    session: string,
    key: string,
    job: JobBody,
    {attempt, waitMs = 60_000, signal}: SubmitChoice = {},
  ): Promise<Reply> {
    const query = new URLSearchParams({wait: String(waitMs)});
    if (attempt !== undefined) query.set('attempt', String(attempt));
    const path = `/v1/sessions/${session}/jobs/${key}?${query.toString()}`;
    return this.ask('PUT', path, job, signal);
  }

  /** Sends one copy of a submission under an idempotency key. */
  submitPlain(key: string, job: JobBody, waitMs = 60_000): Promise<Reply> {
    const headers = {'idempotency-key': key};
    return this.ask('POST', `/v1/jobs?wait=${waitMs}`, job, undefined, headers);
  }

  /** Reads a job. */
  read(session: string, key: string, waitMs = 60_000): Promise<Reply> {
    const path = `/v1/sessions/${session}/jobs/${key}?wait=${waitMs}`;
    return this.ask('GET', path);
  }

  /** Cancels a job. */
  cancel(session: string, key: string): Promise<Reply> {
    return this.ask('DELETE', `/v1/sessions/${session}/jobs/${key}`);
  }

  private async ask(
    method: Dispatcher.HttpMethod,
    path: string,
    content?: object,
    signal?: AbortSignal,
    headers: Record<string, string> = {},
  ): Promise<Reply> {
    try {
      const text = content === undefined ? undefined : JSON.stringify(content);
      const {body} = await this.send(method, path, text, signal, headers);
      return toReply(await body.json());
    } catch {
      return {kind: ReplyKind.Lost};
    }
  }

  private send(
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
      headersTimeout: LONGEST_CALL_MS,
      ...(body === undefined ? {} : {body}),
      ...(signal === undefined ? {} : {signal}),
    });
  }
}

function toReply(json: unknown): Reply {
  const answer = jobAnswerSchema.safeParse(json);
  if (answer.success) return {kind: ReplyKind.Job, answer: answer.data};
  return {kind: ReplyKind.Failure, failure: failureSchema.parse(json)};
}
