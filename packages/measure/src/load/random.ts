/** Seeded random numbers (xorshift), so that every policy meets the same load. */

const SPREAD = 2_654_435_761;
const RANGE = 2 ** 32;

/** Draws uniform numbers in [0, 1). */
export type Random = () => number;

/** Creates a generator. */
export function createRandom(seed: number): Random {
  let state = (seed * SPREAD + 1) >>> 0 || 1;
  return () => {
    state ^= state << 13;
    state >>>= 0;
    state ^= state >>> 17;
    state ^= state << 5;
    state >>>= 0;
    return state / RANGE;
  };
}

/** Draws between `low` and `high`, evenly on a logarithmic scale. */
export function drawLogarithmic(
  random: Random,
  low: number,
  high: number,
): number {
  return low * (high / low) ** random();
}

/** Draws an index with a chance in proportion to its weight. */
export function drawWeighted(
  random: Random,
  weights: readonly number[],
): number {
  let left = random() * weights.reduce((sum, each) => sum + each, 0);
  const index = weights.findIndex(weight => {
    left -= weight;
    return left < 0;
  });
  return Math.max(index, 0);
}
