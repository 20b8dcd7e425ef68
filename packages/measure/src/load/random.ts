/**
 * Seeded random numbers (xorshift32), so that every policy gets the same load.
 */

/** Multiplicative hash constant; spreads neighbouring seeds. */
const SEED_MULTIPLIER = 2_654_435_761;
const UINT32_RANGE = 2 ** 32;

/** Returns uniform random numbers in [0, 1). */
export type Random = () => number;

/** Creates a random number generator; the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
  let state = (seed * SEED_MULTIPLIER + 1) >>> 0 || 1;
  return () => {
    state ^= state << 13;
    state >>>= 0;
    state ^= state >>> 17;
    state ^= state << 5;
    state >>>= 0;
    return state / UINT32_RANGE;
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

/** Draws an index with a probability proportional to its weight. */
export function drawWeightedIndex(
  random: Random,
  weights: readonly number[],
): number {
  let remaining = random() * weights.reduce((sum, each) => sum + each, 0);
  const index = weights.findIndex(weight => {
    remaining -= weight;
    return remaining < 0;
  });
  return Math.max(index, 0);
}
