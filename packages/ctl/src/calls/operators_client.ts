/** HTTP client of the operators' listener of one instance. */
import {failureSchema} from '@goldcrestpier/protocol';
import {Err, Ok, type Result} from 'ts-results-es';
import {Pool} from 'undici';
import type {z} from 'zod';
import {ProblemKind, type CtlProblem} from '../failures/index.js';
import type {Target} from './target.js';

const PATH_PREFIX = '/operators/v1/';
const CONNECT_TIMEOUT_MS = 5_000;
const RESPONSE_TIMEOUT_MS = 30_000;
const FIRST_ERROR_STATUS = 400;

/** Resolves to the validated response body, or to the reason for its absence. */
export type CallResult<Body> = Promise<Result<Body, CtlProblem>>;

type Method = 'GET' | 'POST' | 'DELETE';

/** HTTP client of the operators' listener of one instance. */
export class OperatorsClient {
  private readonly pool: Pool;

  constructor(private readonly target: Target) {
    this.pool = new Pool(target.origin, {
      connections: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      headersTimeout: RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
    });
  }

  /** Sends a request; undefined values of `query` are omitted. */
  async call<Body>(
    method: Method,
    path: string,
    schema: z.ZodType<Body>,
    {query = {}, body}: RequestOptions = {},
  ): CallResult<Body> {
    let status: number;
    let bodyText: string;
    try {
      const response = await this.pool.request({
        method,
        path: `${PATH_PREFIX}${path}${formatQuery(query)}`,
        headers: {
          authorization: `Bearer ${this.target.token}`,
          ...(body === undefined ? {} : {'content-type': 'application/json'}),
        },
        body: body === undefined ? null : JSON.stringify(body),
      });
      status = response.statusCode;
      bodyText = await response.body.text();
    } catch (cause) {
      return Err(this.createUnreachableProblem(method, cause));
    }
    return this.parseResponse(method, status, bodyText, schema);
  }

  /** Closes the connection, also if a request is in progress. */
  close(): Promise<void> {
    return this.pool.destroy();
  }

  private parseResponse<Body>(
    method: Method,
    status: number,
    bodyText: string,
    schema: z.ZodType<Body>,
  ): Result<Body, CtlProblem> {
    const json = parseJson(bodyText);
    if (status >= FIRST_ERROR_STATUS) {
      const failure = failureSchema.safeParse(json);
      if (failure.success) {
        return Err({kind: ProblemKind.Refused, failure: failure.data});
      }
    } else {
      const parsed = schema.safeParse(json);
      if (parsed.success) return Ok(parsed.data);
    }
    return Err({
      kind: ProblemKind.Unreachable,
      instance: this.target.origin,
      reason: `its answer with status ${status} is not one of goldcrestpier's`,
      mayHaveRun: method !== 'GET',
    });
  }

  private createUnreachableProblem(method: Method, cause: unknown): CtlProblem {
    const code = getErrorCode(cause);
    return {
      kind: ProblemKind.Unreachable,
      instance: this.target.origin,
      reason: describeErrorCode(code),
      mayHaveRun: method !== 'GET' && !NOT_SENT_ERROR_CODES.has(code),
    };
  }
}

/** Query parameters and JSON body of a request. */
export interface RequestOptions {
  readonly query?: Readonly<Record<string, string | undefined>>;
  readonly body?: unknown;
}

/** Codes of errors that occur before the request is sent. */
const NOT_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function describeErrorCode(code: string): string {
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

function getErrorCode(cause: unknown): string {
  const code = (cause as {readonly code?: unknown} | null)?.code;
  return typeof code === 'string' ? code : 'no code';
}

function formatQuery(query: NonNullable<RequestOptions['query']>): string {
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
