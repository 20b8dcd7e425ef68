/** Writes answers: JSON bodies, statuses and Retry-After. */
import type {ServerResponse} from 'node:http';
import {getHttpStatus, type Failure} from '@goldcrestpier/protocol';

const MILLIS_PER_SECOND = 1000;
const STATUS_UNAUTHORIZED = 401;

/** Answers with a JSON body. */
export function respondJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.headersSent || response.destroyed) return;
  const bytes = Buffer.from(JSON.stringify(body));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': bytes.length,
  });
  response.end(bytes);
}

/** Answers with a failure; Retry-After says when to come back. */
export function respondFailure(
  response: ServerResponse,
  failure: Failure,
): void {
  if (response.headersSent || response.destroyed) return;
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / MILLIS_PER_SECOND);
    response.setHeader('retry-after', seconds);
  }
  const status = getHttpStatus(failure);
  if (status === STATUS_UNAUTHORIZED) {
    response.setHeader('www-authenticate', 'Bearer');
  }
  respondJson(response, status, failure);
}
