/** Handlers of the callers' HTTP requests, one for each route. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  checkValue,
  readJson,
  respondFailure,
  respondJson,
} from '@goldcrestpier/http';
import {
  attemptSchema,
  createFailure,
  FailureCode,
  jobSchema,
  keySchema,
  type Failure,
} from '@goldcrestpier/protocol';
import {readClock, type Millis} from '@goldcrestpier/runtime';
import {Ok, type Result} from 'ts-results-es';
import {z} from 'zod';
import type {Gateway, JobResult, Wait} from '../gateway/gateway.js';
import {respondJob} from './respond_job.js';

const STATUS_CREATED = 201;
const STATUS_NO_CONTENT = 204;
const MAX_WAIT_MS = 60_000;

const waitSchema = z.coerce
  .number('expected a number of milliseconds')
  .min(0, 'expected 0 or more')
  .transform(ms => Math.min(ms, MAX_WAIT_MS))
  .default(0);

/** A request and its response, with what the handlers need. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly query: URLSearchParams;
  readonly gateway: Gateway;
  readonly maxBodyBytes: number;
  /** A lower bound for the arrival time of data that is read at `now`. */
  readonly arrivalTime: (now: Millis) => Millis;
  /** Aborts when the connection to the caller is closed. */
  readonly signal: AbortSignal;
}

/** `POST /v1/sessions` */
export function handleOpenSession(exchange: Exchange, now: Millis): void {
  const opened = exchange.gateway.openSession(now);
  if (opened.isErr()) return respondFailure(exchange.response, opened.error);
  respondJson(exchange.response, STATUS_CREATED, opened.value);
}

/** `DELETE /v1/sessions/{session}` */
export async function handleEndSession(
  exchange: Exchange,
  session: string,
): Promise<void> {
  const ended = await exchange.gateway.endSession(session);
  if (ended.isErr()) return respondFailure(exchange.response, ended.error);
  exchange.response.writeHead(STATUS_NO_CONTENT).end();
}

/** `PUT /v1/sessions/{session}/jobs/{key}` */
export async function handleSubmit(
  exchange: Exchange,
  session: string,
  rawKey: string,
): Promise<void> {
  const key = checkValue(rawKey, keySchema);
  const attempt = readAttempt(exchange.query);
  const wait = readWait(exchange);
  const {request, maxBodyBytes, gateway} = exchange;
  const job = await readJson(request, jobSchema, maxBodyBytes);
  const receivedAt = exchange.arrivalTime(readClock());
  if (key.isErr()) return respondFailure(exchange.response, key.error);
  if (attempt.isErr()) return respondFailure(exchange.response, attempt.error);
  if (wait.isErr()) return respondFailure(exchange.response, wait.error);
  if (job.isErr()) return respondFailure(exchange.response, job.error);
  const submission = {
    session,
    key: key.value,
    attempt: attempt.value,
    job: job.value,
    wait: wait.value,
  };
  respondJobResult(exchange, await gateway.submit(submission, receivedAt));
}

/** `GET /v1/sessions/{session}/jobs/{key}` */
export async function handleRead(
  exchange: Exchange,
  session: string,
  key: string,
): Promise<void> {
  const wait = readWait(exchange);
  if (wait.isErr()) return respondFailure(exchange.response, wait.error);
  const result = await exchange.gateway.read(session, key, wait.value);
  respondJobResult(exchange, result);
}

/** `DELETE /v1/sessions/{session}/jobs/{key}` */
export async function handleCancel(
  exchange: Exchange,
  session: string,
  key: string,
): Promise<void> {
  respondJobResult(exchange, await exchange.gateway.cancel(session, key));
}

/** `POST /v1/jobs` with an `Idempotency-Key` header */
export async function handleSubmitWithoutSession(
  exchange: Exchange,
): Promise<void> {
  const {request, maxBodyBytes, gateway} = exchange;
  const key = checkValue(request.headers['idempotency-key'], keySchema);
  const wait = readWait(exchange);
  const job = await readJson(request, jobSchema, maxBodyBytes);
  const receivedAt = exchange.arrivalTime(readClock());
  if (key.isErr()) {
    return respondFailure(exchange.response, createMissingKeyFailure());
  }
  if (wait.isErr()) return respondFailure(exchange.response, wait.error);
  if (job.isErr()) return respondFailure(exchange.response, job.error);
  const result = await gateway.submitWithoutSession(
    key.value,
    job.value,
    wait.value,
    receivedAt,
  );
  respondJobResult(exchange, result);
}

function respondJobResult(exchange: Exchange, result: JobResult): void {
  if (result.isErr()) return respondFailure(exchange.response, result.error);
  respondJob(exchange.response, result.value);
}

function readAttempt(
  query: URLSearchParams,
): Result<number | undefined, Failure> {
  const attemptText = query.get('attempt');
  if (attemptText === null) return Ok(undefined);
  return checkValue(Number(attemptText), attemptSchema);
}

function readWait({query, signal}: Exchange): Result<Wait, Failure> {
  const waitText = query.get('wait') ?? undefined;
  return checkValue(waitText, waitSchema).map(ms => ({ms, signal}));
}

function createMissingKeyFailure(): Failure {
  const problem = {
    path: 'Idempotency-Key',
    found: 'no usable header',
    expected: 'expected 1 to 128 of A-Z, a-z, 0-9 and . _ ~ -',
  };
  return createFailure(FailureCode.InvalidRequest, {problems: [problem]});
}
