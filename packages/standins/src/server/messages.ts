/** HTTP requests and replies of the stand-ins. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Err, Ok, type Result} from 'ts-results-es';

const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** HTTP status codes used by the stand-ins. */
export enum HttpStatus {
  Ok = 200,
  Created = 201,
  BadRequest = 400,
  NotFound = 404,
  Conflict = 409,
  TooManyRequests = 429,
  InternalServerError = 500,
  ServiceUnavailable = 503,
}

/** The `code` field in the body of an error reply. */
export enum ReplyCode {
  Busy = 'busy',
  Leaving = 'leaving',
  Failed = 'failed',
  LeaseExpired = 'lapsed',
  BadRequest = 'bad_request',
  NotFound = 'not_found',
  Unavailable = 'out',
}

/** Why a request could not be read; sent to the client as `reason`. */
export enum ReadFailure {
  TooLong = 'too_long',
  NotJson = 'not_json',
  Aborted = 'broken',
}

/** One request; `body` is undefined if the request has none. */
export interface JsonRequest {
  readonly method: string;
  /** Decoded path segments. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  readonly body: unknown;
  /** Aborted when the connection closes or the response is complete. */
  readonly closeSignal: AbortSignal;
}

/** Whether a request gets a response. */
export enum ReplyKind {
  Json = 'json',
  /** Closes the connection without a response. */
  Reset = 'reset',
}

/** Response with a JSON body. */
export interface JsonReply {
  readonly kind: ReplyKind.Json;
  readonly status: HttpStatus;
  readonly body: unknown;
  /** Whether the request started a task; `loseEveryNthReply` counts these. */
  readonly hasStartedTask?: boolean;
}

/** What a request handler returns. */
export type Reply = JsonReply | {readonly kind: ReplyKind.Reset};

/** Handles a request; returns undefined for a route it doesn't have. */
export type RequestHandler = (
  request: JsonRequest,
) => Promise<Reply | undefined> | Reply | undefined;

/** Creates a reply with a JSON body. */
export function createReply(status: HttpStatus, body: unknown): JsonReply {
  return {kind: ReplyKind.Json, status, body};
}

/** Reply to a request that doesn't match its schema. */
export function createBadRequestReply(reason: string): Reply {
  return createReply(HttpStatus.BadRequest, {
    code: ReplyCode.BadRequest,
    reason,
  });
}

/** Reply of a server that started a task, which then failed. */
export function createFailedTaskReply(): Reply {
  const body = {code: ReplyCode.Failed, reason: 'the task failed'};
  return {
    ...createReply(HttpStatus.InternalServerError, body),
    hasStartedTask: true,
  };
}

/** Reads a request with its whole body. */
export async function readRequest(
  message: IncomingMessage,
  response: ServerResponse,
): Promise<Result<JsonRequest, ReadFailure>> {
  const closeController = new AbortController();
  response.once('close', () => closeController.abort());
  const url = new URL(message.url ?? '/', 'http://standin');
  const text = await readText(message);
  if (text.isErr()) return text;
  const body = parseBody(text.value);
  return body.map(value => ({
    method: message.method ?? 'GET',
    path: url.pathname.split('/').filter(Boolean).map(decodeURIComponent),
    query: url.searchParams,
    body: value,
    closeSignal: closeController.signal,
  }));
}

/** Sends a JSON response; closes the connection after the last request. */
export function sendJson(
  response: ServerResponse,
  status: HttpStatus,
  body: unknown,
  isLastRequest: boolean,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(isLastRequest ? {connection: 'close'} : {}),
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
      if (bytes > MAX_BODY_BYTES) return Err(ReadFailure.TooLong);
      chunks.push(chunk);
    }
  } catch {
    return Err(ReadFailure.Aborted);
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
