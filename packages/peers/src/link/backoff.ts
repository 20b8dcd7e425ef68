/** Waits between tries that grow, and differ from process to process. */

/**
 * The wait before the try after `failures` failed ones, in ms: doubled each
 * time up to the longest, of which `random` (0 to 1) takes off up to half.
 */
export function chooseBackoff(
  failures: number,
  firstMs: number,
  longestMs: number,
  random: number,
): number {
  const whole = Math.min(firstMs * 2 ** failures, longestMs);
  return whole - (whole / 2) * random;
}
