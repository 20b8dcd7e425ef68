/** The shared token that peers show before anything they send is read. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';

const SCHEME = 'Bearer ';

/** The header in which a peer says which incarnation it is, for the log. */
export const INCARNATION_HEADER = 'x-goldcrestpier-incarnation';

/** The header that carries `token`. */
export function formatAuthorization(token: string): string {
  return `${SCHEME}${token}`;
}

/** Whether a request carries the token; takes the same time either way. */
export function isAuthorized(request: IncomingMessage, token: string): boolean {
  const shown = request.headers.authorization ?? '';
  // Digests have one length, which timingSafeEqual needs and which keeps the
  // token's own length hidden.
  return timingSafeEqual(digest(shown), digest(formatAuthorization(token)));
}

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
