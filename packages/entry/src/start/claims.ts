/** Joins idempotency keys to the platform's key-value service. */
import {createFailure, FailureCode} from '@goldcrestpier/protocol';
import {Err} from 'ts-results-es';
import type {Claims} from '../gateway/plain.js';
import type {Context} from './context.js';
import type {Platform} from './platform.js';

/** Creates the claims of idempotency keys. */
export function createClaims(_context: Context, _platform: Platform): Claims {
  const reason = 'claims are not connected';
  return {
    claim: () =>
      Promise.resolve(
        Err(createFailure(FailureCode.PlatformUnavailable, {reason})),
      ),
  };
}
