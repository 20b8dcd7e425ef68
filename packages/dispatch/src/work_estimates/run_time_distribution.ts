/**
 * Distribution of run times relative to their predictions: log-normal, which a
 * logistic curve approximates, and a tail of tasks that are far longer.
 */

/** Standard deviation of the logarithm of actual over expected run time. */
const RUN_TIME_SPREAD = 0.35;
/** Slope with which the logistic curve approximates the normal CDF. */
const LOGISTIC_SLOPE = 1.702;
/** Exponent of the log-logistic curve that approximates the log-normal one. */
const EXPONENT = LOGISTIC_SLOPE / RUN_TIME_SPREAD;

/** Inverses of four equally likely run times relative to their prediction. */
export const INVERSE_LENGTHS: readonly number[] = [
  -1.15, -0.319, 0.319, 1.15,
].map(deviation => Math.exp(-RUN_TIME_SPREAD * deviation));
/** The same for long tasks; two are enough, as few tasks are long. */
const INVERSE_LONG_LENGTHS = [-0.674, 0.674].map(deviation =>
  Math.exp(-RUN_TIME_SPREAD * deviation),
);

/** The long tasks of a queue. */
export interface Tail {
  /** Their share of all tasks. */
  readonly share: number;
  /** How many times longer than predicted they are. */
  readonly factor: number;
  /** Inverses of equally likely run times of one, relative to the prediction. */
  readonly inverseLengths: readonly number[];
}

/** The tail of a queue that has shown none. */
export const NO_TAIL: Tail = {share: 0, factor: 1, inverseLengths: []};

/** Creates the tail of a queue. */
export function createTail(share: number, factor: number): Tail {
  const inverseLengths = INVERSE_LONG_LENGTHS.map(inverse => inverse / factor);
  return {share, factor, inverseLengths};
}

/** Multiple of its expected time within which nine of ten usual runs end. */
export const LIKELY_FACTOR = findQuantile(0.9, 0, NO_TAIL);

/** Probability that a run takes at most `ratio` times its prediction. */
export function estimateProbability(ratio: number, tail: Tail): number {
  const body = estimateBody(ratio);
  if (tail.share === 0) return body;
  const long = estimateBody(ratio / tail.factor);
  return body + tail.share * (long - body);
}

/**
 * The ratio that a run stays within with `probability`, given that it has
 * already taken `elapsed` times its prediction.
 */
export function findQuantile(
  probability: number,
  elapsed: number,
  tail: Tail,
): number {
  const bodyLeft = (1 - tail.share) * (1 - estimateBody(elapsed));
  const longLeft = tail.share * (1 - estimateBody(elapsed / tail.factor));
  const longShare = longLeft / Math.max(bodyLeft + longLeft, Number.MIN_VALUE);
  if (probability <= 1 - longShare)
    return findBodyQuantile(probability / (1 - longShare), elapsed);
  const within = (probability - (1 - longShare)) / longShare;
  return tail.factor * findBodyQuantile(within, elapsed / tail.factor);
}

function findBodyQuantile(probability: number, elapsed: number): number {
  // The survival function is 1 / (1 + ratio ** EXPONENT).
  const odds = Math.max(elapsed, 0) ** EXPONENT;
  const survival = Math.max(1 - probability, 1e-3) / (1 + odds);
  return (1 / survival - 1) ** (1 / EXPONENT);
}

function estimateBody(ratio: number): number {
  if (ratio <= 0) return 0;
  return 1 / (1 + ratio ** -EXPONENT);
}
