/**
 * Estimates the worth of a run from the probability that it ends in time. The
 * ratio of actual to declared run times is about log-normal, so the probability
 * depends on the ratio of the remaining time to the expected run time.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Standard deviation of the logarithm of actual over expected run time. */
const RUN_TIME_SPREAD = 0.35;
/** Slope with which the logistic curve approximates the normal CDF. */
const LOGISTIC_SLOPE = 1.702;
/** Worth of an answer after its objective, relative to one before it. */
const LATE_WORTH = 0.2;

/** When a run should end, and until when its result is still useful. */
export interface DueTimes {
  readonly dueAt: Millis;
  readonly usefulUntil: Millis;
}

/** Expected worth, 0 to 1, of a run that starts now. */
export function estimateWorth(
  {dueAt, usefulUntil}: DueTimes,
  expectedMs: Millis,
  now: Millis,
): number {
  const inTime = estimateProbabilityWithin(dueAt - now, expectedMs);
  const useful = estimateProbabilityWithin(usefulUntil - now, expectedMs);
  return inTime + LATE_WORTH * (useful - inTime);
}

/** Probability that a run of `expectedMs` takes at most `limitMs`. */
function estimateProbabilityWithin(
  limitMs: Millis,
  expectedMs: Millis,
): number {
  if (limitMs <= 0) return 0;
  const ratio = Math.log(limitMs / Math.max(expectedMs, 1));
  return 1 / (1 + Math.exp((-LOGISTIC_SLOPE * ratio) / RUN_TIME_SPREAD));
}
