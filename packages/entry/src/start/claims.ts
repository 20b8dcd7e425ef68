/** Joins idempotency keys to the platform's key-value service. */
import type {Membership} from '@goldcrestpier/membership';
import {ClaimStore} from '@goldcrestpier/platform';
import {LogPart, readClock} from '@goldcrestpier/runtime';
import type {Claims} from '../gateway/plain.js';
import type {Context} from './context.js';
import type {Platform} from './platform.js';

/** Creates the claims of idempotency keys. */
export function createClaims(
  {settings, logs, lifecycle}: Context,
  {client}: Platform,
  membership: Membership,
): Claims {
  const store = new ClaimStore({
    client,
    // A key must not be free again while its session can be used.
    retentionMs: settings.sessions.idleMs + settings.jobs.answersKeptMs,
    readFleetSize: () => membership.linkedMembers().length + 1,
    logger: logs.forPart(LogPart.Platform),
    lifecycle,
  });
  return {
    async claim(idempotencyKey, proposed) {
      const answer = await store.claim(idempotencyKey, proposed, readClock());
      return answer.map(({claim}) => claim);
    },
  };
}
