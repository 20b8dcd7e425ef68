/** Sends one request with undici, without retries. */
import {failureSchema} from '@goldcrestpier/protocol';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';
import {OutcomeKind, type RequestOutcome} from './outcome.js';

/** Timeout of the headers, on top of the requested wait, and of the body. */
const RESPONSE_TIMEOUT_MS = 10_000;
const FIRST_ERROR_STATUS = 400;

/** Error codes that occur before the first byte of a request is sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** One request to an entry instance. */
export interface InstanceRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  /** JSON text. */
  readonly body?: string;
  /** How long the instance is asked to wait before it responds. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Sends `request` once and reads the whole response. Never rejects. */
export async function sendRequest<Body>(
  dispatcher: Dispatcher,
  request: InstanceRequest,
  schema: z.ZodType<Body>,
): Promise<RequestOutcome<Body>> {
  if (request.signal?.aborted)
    return {kind: OutcomeKind.Aborted, isSent: false};
  try {
    const response = await dispatcher.request({
      method: request.method,
      path: request.path,
      body: request.body,
      headers:
        request.body === undefined ? {} : {'content-type': 'application/json'},
      headersTimeout: request.waitMs + RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
      signal: request.signal,
    });
    const text = await response.body.text();
    return parseResponse(response.statusCode, text, schema);
  } catch (cause) {
    if (request.signal?.aborted)
      return {kind: OutcomeKind.Aborted, isSent: true};
    return {kind: OutcomeKind.NoResponse, isSent: !isConnectError(cause)};
  }
}

/** Treats a body that is neither an answer nor a failure as no response. */
function parseResponse<Body>(
  status: number,
  text: string,
  schema: z.ZodType<Body>,
): RequestOutcome<Body> {
  const body = parseJson(text);
  if (status < FIRST_ERROR_STATUS) {
    const answer = schema.safeParse(body);
    if (answer.success) return {kind: OutcomeKind.Answer, body: answer.data};
    return {kind: OutcomeKind.NoResponse, isSent: true};
  }
  const failure = failureSchema.safeParse(body);
  if (failure.success) {
    return {kind: OutcomeKind.Failure, failure: failure.data};
  }
  return {kind: OutcomeKind.NoResponse, isSent: true};
}

function parseJson(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isConnectError(cause: unknown): boolean {
  if (cause instanceof AggregateError)
    return cause.errors.every(isConnectError);
  const code = (cause as {readonly code?: unknown} | null)?.code;
  return typeof code === 'string' && CONNECT_ERROR_CODES.has(code);
}
