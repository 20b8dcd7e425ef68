/** The shared token that a request shows in its `authorization` header. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

const SCHEME = 'Bearer ';

/** The `authorization` header that carries `token`. */
export function formatAuthorization(token: string): string {
  return `${SCHEME}${token}`;
}

/** Whether a request shows the token; takes the same time either way. */
export function isAuthorized(request: IncomingMessage, token: string): boolean {
  const shown = request.headers.authorization ?? '';
  // Digests have one length, which timingSafeEqual needs and which keeps the
  // token's own length hidden.
  return timingSafeEqual(digest(shown), digest(formatAuthorization(token)));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
