/** Calls to one instance's operators' listener, each with a typed answer. */
import {failureSchema} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {Pool} from 'undici';
import type {z} from 'zod';
import {ProblemKind, type CtlProblem} from '../failures/index.js';
import type {Target} from './target.js';

const PREFIX = '/operators/v1/';
const CONNECT_TIMEOUT_MS = 5_000;
const ANSWER_TIMEOUT_MS = 30_000;
const FIRST_ERROR_STATUS = 400;

/** The answer of a call, or why there is none. */
export type CallResult<Answer> = Promise<Result<Answer, CtlProblem>>;

type Method = 'GET' | 'POST' | 'DELETE';

/** Calls to one instance's operators' listener. */
export class OperatorsCalls {
  private readonly pool: Pool;

  constructor(private readonly target: Target) {
    this.pool = new Pool(target.origin, {
      connections: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: ANSWER_TIMEOUT_MS,
      bodyTimeout: ANSWER_TIMEOUT_MS,
    });
  }

  /** Sends one request; `query` values that are undefined are left out. */
  async call<Answer>(
    method: Method,
    path: string,
    schema: z.ZodType<Answer>,
    {query = {}, body}: CallParts = {},
  ): CallResult<Answer> {
    let status: number;
    let text: string;
    try {
      const response = await this.pool.request({
        method,
        path: `${PREFIX}${path}${formatQuery(query)}`,
        headers: {
          authorization: `Bearer ${this.target.token}`,
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
        body: body === undefined ? null : JSON.stringify(body),
      });
      status = response.statusCode;
      text = await response.body.text();
    } catch (cause) {
      return Err(this.describeLost(method, cause));
    }
    return this.readAnswer(method, status, text, schema);
  }

  /** Closes the connection. */
  close(): Promise<void> {
    return this.pool.destroy();
  }

  private readAnswer<Answer>(
    method: Method,
    status: number,
    text: string,
    schema: z.ZodType<Answer>,
  ): Result<Answer, CtlProblem> {
    const json = parseJson(text);
    if (status >= FIRST_ERROR_STATUS) {
      const failure = failureSchema.safeParse(json);
      if (failure.success) {
        return Err({kind: ProblemKind.Refused, failure: failure.data});
      }
    } else {
      const answer = schema.safeParse(json);
      if (answer.success) return Ok(answer.data);
    }
    return Err({
      kind: ProblemKind.Unreachable,
      instance: this.target.origin,
      reason: `its answer with status ${status} is not one of goldcrestpier's`,
      mayHaveRun: method !== 'GET',
    });
  }

  private describeLost(method: Method, cause: unknown): CtlProblem {
    const code = readErrorCode(cause);
    return {
      kind: ProblemKind.Unreachable,
      instance: this.target.origin,
      reason: describeCode(code),
      mayHaveRun: method !== 'GET' && !CODES_BEFORE_SENDING.has(code),
    };
  }
}

/** What goes with a request beside its path. */
export interface CallParts {
  readonly query?: Readonly<Record<string, string | undefined>>;
  readonly body?: unknown;
}

const CODES_BEFORE_SENDING: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function describeCode(code: string): string {
  switch (code) {
    case 'ECONNREFUSED':
      return 'nothing listens there';
    case 'ENOTFOUND':
      return 'the host name is not known';
    case 'UND_ERR_CONNECT_TIMEOUT':
      return 'connecting took too long';
    case 'UND_ERR_HEADERS_TIMEOUT':
    case 'UND_ERR_BODY_TIMEOUT':
      return 'its answer took too long';
    default:
      return `the connection failed (${code})`;
  }
}

function readErrorCode(cause: unknown): string {
  const code = (cause as {readonly code?: unknown} | null)?.code;
  return typeof code === 'string' ? code : 'no code';
}

function formatQuery(query: NonNullable<CallParts['query']>): string {
  const params = new URLSearchParams();
  for (const [name, value] of Object.entries(query)) {
    if (value !== undefined) params.set(name, value);
  }
  return params.size === 0 ? '' : `?${params.toString()}`;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
