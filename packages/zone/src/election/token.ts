/**
 * Fencing tokens. Each is higher than all that its maker has seen, and no two
 * instances make the same one: the low part is drawn by the process at random,
 * the high part rises with each claim. The store is not needed to make one.
 */
import {randomInt} from 'node:crypto';
import type {Millis} from '@goldcrestpier/runtime';

/** Values of the part that tells processes apart. */
const NONCE_VALUES = 2 ** 24;
/** Start of the years that tokens are counted from, Unix time in ms. */
const FIRST_TIME_MS = Date.UTC(2020, 0, 1);
const MILLIS_PER_SECOND = 1000;

/** Draws the part of a process's tokens that is its own. */
export function drawNonce(): number {
  return randomInt(NONCE_VALUES);
}

/**
 * A token above `highest`. The time of day lets a token rise above those of
 * instances that are gone and that nobody remembers; workers turn a token away
 * that is too low all the same, and `skip` then raises it.
 */
export function createToken(
  highest: number,
  nonce: number,
  unixMs: Millis,
  skip: number,
): number {
  const seconds = Math.floor((unixMs - FIRST_TIME_MS) / MILLIS_PER_SECOND);
  const epoch = Math.max(Math.floor(highest / NONCE_VALUES) + 1, seconds);
  return (epoch + skip) * NONCE_VALUES + nonce;
}
