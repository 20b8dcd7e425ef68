/** Claims idempotency keys in the platform's key-value service. */
import type {Membership} from '@goldcrestpier/membership';
import {ClaimStore} from '@goldcrestpier/platform';
import {LogPart, readClock} from '@goldcrestpier/runtime';
import type {IdempotencyKeyClaims} from '../gateway/sessionless_gateway.js';
import type {Context} from './context.js';
import type {Platform} from './platform.js';

/** Creates the claims of idempotency keys, stored in the key-value service. */
export function createIdempotencyKeyClaims(
  {settings, logs, lifecycle}: Context,
  {keyValueClient}: Platform,
  membership: Membership,
): IdempotencyKeyClaims {
  const store = new ClaimStore({
    client: keyValueClient,
    // A claim must not expire while the session of its job is still usable.
    retentionMs: settings.sessions.idleMs + settings.jobs.answersKeptMs,
    readFleetSize: () => membership.linkedMembers().length + 1,
    logger: logs.forPart(LogPart.Platform),
    lifecycle,
  });
  return {
    async claim(idempotencyKey, proposed) {
      const result = await store.claim(idempotencyKey, proposed, readClock());
      return result.map(({claim}) => claim);
    },
  };
}
