/** Exponential backoff, with jitter so that processes do not retry together. */

/**
 * Returns the delay before the next attempt after `failures` failed ones, in
 * ms. The delay doubles with each failure up to `maxMs`; `random` (0 to 1) then
 * shortens it by up to half.
 */
export function calculateBackoff(
  failures: number,
  initialMs: number,
  maxMs: number,
  random: number,
): number {
  const delayMs = Math.min(initialMs * 2 ** failures, maxMs);
  return delayMs - (delayMs / 2) * random;
}
