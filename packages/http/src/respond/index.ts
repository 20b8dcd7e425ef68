/** Writes HTTP responses: status, JSON body and `Retry-After`. */
import type {ServerResponse} from 'node:http';
import {getHttpStatus, type Failure} from '@goldcrestpier/protocol';

const MILLIS_PER_SECOND = 1000;
const STATUS_UNAUTHORIZED = 401;

/**
 * Sends a JSON response. Does nothing if the headers were already sent or the
 * response is destroyed.
 */
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

/**
 * Sends a failure as a JSON response with its HTTP status. `Retry-After` is the
 * retry delay of the failure in seconds, rounded up.
 */
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
