/**
 * Fencing tokens. Each is higher than all tokens that its creator has seen, and
 * unique to the instance: the low part is a random number of the process, the
 * high part is an epoch that rises with each claim. Creating one needs no store.
 */
import {randomInt} from 'node:crypto';
import type {Millis} from '@goldcrestpier/runtime';

/** Number of values of the part that distinguishes processes. */
const NONCE_RANGE = 2 ** 24;
/** The time from which epochs are counted, Unix time in ms. */
const TOKEN_EPOCH_START_MS = Date.UTC(2020, 0, 1);
const MILLIS_PER_SECOND = 1000;

/** Generates the part of the tokens that is unique to a process. */
export function generateNonce(): number {
  return randomInt(NONCE_RANGE);
}

/**
 * Creates a token above `highest`. The wall clock raises it above the tokens of
 * failed instances that no live instance knows. Workers reject a token that is
 * still too low, and `skip` then raises its epoch.
 */
export function createToken(
  highest: number,
  nonce: number,
  unixMs: Millis,
  skip: number,
): number {
  const seconds = Math.floor(
    (unixMs - TOKEN_EPOCH_START_MS) / MILLIS_PER_SECOND,
  );
  const epoch = Math.max(Math.floor(highest / NONCE_RANGE) + 1, seconds);
  return (epoch + skip) * NONCE_RANGE + nonce;
}
