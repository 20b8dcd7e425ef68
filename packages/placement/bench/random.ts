/** Seeded random numbers (xorshift), so that all policies get the same load. */

/** Draws uniform numbers in [0, 1). */
export type Random = () => number;

/** Creates a generator of uniform numbers from a seed. */
export function createRandom(seed: number): Random {
  let state = (seed * 2_654_435_761 + 1) >>> 0 || 1;
  return () => {
    state ^= state << 13;
    state >>>= 0;
    state ^= state >>> 17;
    state ^= state << 5;
    state >>>= 0;
    return state / 2 ** 32;
  };
}

/** Draws from the log-uniform distribution between `low` and `high`. */
export function drawLogUniform(
  random: Random,
  low: number,
  high: number,
): number {
  return low * (high / low) ** random();
}
