/** Requests as a stand-in reads them, and what it answers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Err, Ok, type Result} from 'ts-results-es';

const LONGEST_BODY_BYTES = 64 * 1024 * 1024;

/** The statuses that stand-ins answer with. */
export enum HttpStatus {
  Ok = 200,
  Created = 201,
  BadRequest = 400,
  NotFound = 404,
  Conflict = 409,
  TooManyRequests = 429,
  Failed = 500,
  Unavailable = 503,
}

/** The codes of refusals and failures. */
export enum ReplyCode {
  Busy = 'busy',
  Leaving = 'leaving',
  Failed = 'failed',
  Lapsed = 'lapsed',
  BadRequest = 'bad_request',
  NotFound = 'not_found',
  Out = 'out',
}

/** Why a request could not be read. */
export enum ReadFailure {
  TooLong = 'too_long',
  NotJson = 'not_json',
  Broken = 'broken',
}

/** One request with its JSON body; undefined where it has none. */
export interface JsonRequest {
  readonly method: string;
  /** Decoded parts of the path. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  readonly body: unknown;
  /** Aborts when the client is gone, or was answered. */
  readonly over: AbortSignal;
}

/** How a request is answered. */
export enum ReplyKind {
  Json = 'json',
  /** The connection is closed without a reply. */
  Reset = 'reset',
}

/** An answer with a JSON body. */
export interface JsonReply {
  readonly kind: ReplyKind.Json;
  readonly status: HttpStatus;
  readonly body: unknown;
  /** Whether it answers for a task that was started. */
  readonly started?: boolean;
}

/** The answer to one request. */
export type Reply = JsonReply | {readonly kind: ReplyKind.Reset};

/** Answers a request, or leaves it to others with undefined. */
export type Handler = (
  request: JsonRequest,
) => Promise<Reply | undefined> | Reply | undefined;

/** A JSON answer. */
export function reply(status: HttpStatus, body: unknown): JsonReply {
  return {kind: ReplyKind.Json, status, body};
}

/** The answer to a request that does not fit its schema. */
export function replyBadRequest(reason: string): Reply {
  return reply(HttpStatus.BadRequest, {code: ReplyCode.BadRequest, reason});
}

/** Reads a request and its body to the end. */
export async function readRequest(
  message: IncomingMessage,
  response: ServerResponse,
): Promise<Result<JsonRequest, ReadFailure>> {
  const over = new AbortController();
  response.once('close', () => over.abort());
  const url = new URL(message.url ?? '/', 'http://standin');
  const text = await readText(message);
  if (text.isErr()) return text;
  const body = parseBody(text.value);
  return body.map(value => ({
    method: message.method ?? 'GET',
    path: url.pathname.split('/').filter(Boolean).map(decodeURIComponent),
    query: url.searchParams,
    body: value,
    over: over.signal,
  }));
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: HttpStatus,
  body: unknown,
  close: boolean,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(close ? {connection: 'close'} : {}),
  });
  response.end(text);
}

async function readText(
  message: IncomingMessage,
): Promise<Result<string, ReadFailure>> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > LONGEST_BODY_BYTES) return Err(ReadFailure.TooLong);
      chunks.push(chunk);
    }
  } catch {
    return Err(ReadFailure.Broken);
  }
  return Ok(Buffer.concat(chunks).toString('utf8'));
}

function parseBody(text: string): Result<unknown, ReadFailure> {
  if (text === '') return Ok(undefined);
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err(ReadFailure.NotJson);
  }
}
