/** One request and its typed reply, over undici. Nothing is repeated here. */
import {failureSchema} from '@goldcrestpier/protocol';
import type {Dispatcher} from 'undici';
import type {z} from 'zod';
import {ReplyKind, type Reply} from './reply.js';

/** Beyond the asked wait, an answer may take this long to begin. */
const ANSWER_MARGIN_MS = 10_000;
const FIRST_ERROR_STATUS = 400;

/** Error codes that come before the first byte of a request. */
const CODES_BEFORE_SENDING: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** One request to an entry instance. */
export interface Exchange {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  /** JSON text. */
  readonly body?: string;
  /** How long the instance was asked to wait, in milliseconds. */
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Sends `exchange` once and reads the whole reply. Never rejects. */
export async function sendExchange<Body>(
  dispatcher: Dispatcher,
  exchange: Exchange,
  schema: z.ZodType<Body>,
): Promise<Reply<Body>> {
  if (exchange.signal?.aborted) return {kind: ReplyKind.Aborted, sent: false};
  try {
    const response = await dispatcher.request({
      method: exchange.method,
      path: exchange.path,
      body: exchange.body,
      headers:
        exchange.body === undefined ? {} : {'content-type': 'application/json'},
      headersTimeout: exchange.waitMs + ANSWER_MARGIN_MS,
      bodyTimeout: ANSWER_MARGIN_MS,
      signal: exchange.signal,
    });
    const text = await response.body.text();
    return readReply(response.statusCode, text, schema);
  } catch (cause) {
    if (exchange.signal?.aborted) return {kind: ReplyKind.Aborted, sent: true};
    return {kind: ReplyKind.Lost, sent: !isBeforeSending(cause)};
  }
}

/** A body that is neither an answer nor a failure tells as much as none. */
function readReply<Body>(
  status: number,
  text: string,
  schema: z.ZodType<Body>,
): Reply<Body> {
  const body = parseJson(text);
  if (status < FIRST_ERROR_STATUS) {
    const answer = schema.safeParse(body);
    if (answer.success) return {kind: ReplyKind.Answer, body: answer.data};
    return {kind: ReplyKind.Lost, sent: true};
  }
  const failure = failureSchema.safeParse(body);
  if (failure.success) {
    return {kind: ReplyKind.Failure, failure: failure.data};
  }
  return {kind: ReplyKind.Lost, sent: true};
}

function parseJson(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function isBeforeSending(cause: unknown): boolean {
  if (cause instanceof AggregateError)
    return cause.errors.every(isBeforeSending);
  const code = (cause as {readonly code?: unknown} | null)?.code;
  return typeof code === 'string' && CODES_BEFORE_SENDING.has(code);
}
