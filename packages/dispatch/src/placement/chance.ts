/**
 * The chance that a run ends by a given time. Declared run times are off by a
 * factor that is about log-normal, so the chance depends on the ratio of the
 * time that is left to the expected run time.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** Standard deviation of the logarithm of run time over expected run time. */
const RUN_TIME_SPREAD = 0.35;
/** Makes the logistic curve follow the normal distribution. */
const LOGISTIC_SLOPE = 1.702;
/** Worth of an answer that comes after its objective, beside one in time. */
const LATE_WORTH = 0.2;

/** When a run should end, and until when its end is of some use. */
export interface Due {
  readonly dueAt: Millis;
  readonly usefulUntil: Millis;
}

/** Worth, 0 to 1, to expect of a run that starts now. */
export function expectWorth(
  {dueAt, usefulUntil}: Due,
  expectedMs: Millis,
  now: Millis,
): number {
  const inTime = chanceWithin(dueAt - now, expectedMs);
  const useful = chanceWithin(usefulUntil - now, expectedMs);
  return inTime + LATE_WORTH * (useful - inTime);
}

/** The chance that a run of `expectedMs` takes `limitMs` at most. */
function chanceWithin(limitMs: Millis, expectedMs: Millis): number {
  if (limitMs <= 0) return 0;
  const ratio = Math.log(limitMs / Math.max(expectedMs, 1));
  return 1 / (1 + Math.exp((-LOGISTIC_SLOPE * ratio) / RUN_TIME_SPREAD));
}
