/** Seeded random numbers (xorshift), so that every policy meets the same load. */

/** Draws uniform numbers in [0, 1). */
export type Random = () => number;

/** Creates a generator. */
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

/** Draws between `low` and `high` with equal chance on a logarithmic scale. */
export function drawLogUniform(
  random: Random,
  low: number,
  high: number,
): number {
  return low * (high / low) ** random();
}
