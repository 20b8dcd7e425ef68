/** Authorization by a shared token in the `authorization` header. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

const SCHEME = 'Bearer ';

/** Formats the value of the `authorization` header for `token`. */
export function formatAuthorization(token: string): string {
  return `${SCHEME}${token}`;
}

/** Whether a request carries `token`; compares in constant time. */
export function isAuthorized(request: IncomingMessage, token: string): boolean {
  const received = request.headers.authorization ?? '';
  // timingSafeEqual needs inputs of equal length. Digests have a fixed length,
  // which also hides the length of the token.
  return timingSafeEqual(digest(received), digest(formatAuthorization(token)));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
