/**
 * Estimates the worth of a run from the probability that it ends in time. The
 * objective of a job grows with the time that its longest chain of tasks really
 * takes, so a run that takes longer than predicted is also due later; only the
 * deadline is fixed. Once tasks of the job have shown their lengths, its due
 * times are known and the others are about as long.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {INVERSE_LENGTHS, type Tail} from '../work_estimates/index.js';

/** Worth of an answer after its objective, relative to one before it. */
const LATE_WORTH = 0.2;
/**
 * Half of the range, as a share of the expected time, over which a run's time is
 * evenly distributed once the length of its task is given.
 */
const UNCERTAINTY = 0.3;
/** Multiple of its objective up to which a late job is still useful. */
export const USEFUL_OBJECTIVE_FACTOR = 3;

/** What decides until when a job should end. */
export interface Objective {
  readonly arrivedAt: Millis;
  readonly deadlineAt: Millis;
  readonly targetMs: Millis;
  /** `stretch` times the expected time of the job's longest chain, in ms. */
  readonly stretchedMs: Millis;
  /** The long tasks of its queue. */
  readonly tail: Tail;
  /**
   * Shown length of the job's tasks relative to their prediction; undefined
   * before any has shown it.
   */
  readonly shownFactor: number | undefined;
}

/** When a run should end, and until when its result is still useful. */
export interface DueTimes {
  readonly dueAt: Millis;
  readonly usefulUntil: Millis;
  readonly objective: Objective;
}

/**
 * Expected worth, 0 to 1, of a run that starts now. It is called for every worker
 * in each round, so it sums over a few typical lengths of the task.
 */
export function estimateWorth(
  {dueAt, usefulUntil, objective}: DueTimes,
  expectedMs: Millis,
  now: Millis,
): number {
  const typicalMs = Math.max(expectedMs, 1);
  const {shownFactor, tail, deadlineAt} = objective;
  if (shownFactor !== undefined) {
    const knownMs = typicalMs * shownFactor;
    const inTime = estimateProbabilityWithin((dueAt - now) / knownMs);
    const useful = estimateProbabilityWithin((usefulUntil - now) / knownMs);
    return inTime + LATE_WORTH * (useful - inTime);
  }
  if (now >= deadlineAt) return 0;
  const usual = findMeanWorth(objective, typicalMs, INVERSE_LENGTHS, now);
  if (tail.share === 0) return usual;
  const long = findMeanWorth(objective, typicalMs, tail.inverseLengths, now);
  return usual + tail.share * (long - usual);
}

/**
 * Mean worth over the lengths of a task relative to `typicalMs`, of which the
 * inverses are given. All times are shares of the run's time.
 */
function findMeanWorth(
  {arrivedAt, deadlineAt, targetMs, stretchedMs}: Objective,
  typicalMs: Millis,
  inverseLengths: readonly number[],
  now: Millis,
): number {
  const left = (deadlineAt - now) / typicalMs;
  const waited = (now - arrivedAt) / typicalMs;
  const stretched = stretchedMs / typicalMs;
  const target = targetMs / typicalMs;
  let sum = 0;
  for (const inverse of inverseLengths) {
    const limit = left * inverse;
    const objective = stretched + target * inverse;
    const waitedShare = waited * inverse;
    const inTime = estimateProbabilityWithin(
      Math.min(objective - waitedShare, limit),
    );
    sum += inTime;
    if (inTime === 1) continue;
    const late = USEFUL_OBJECTIVE_FACTOR * objective - waitedShare;
    sum +=
      LATE_WORTH * (estimateProbabilityWithin(Math.min(late, limit)) - inTime);
  }
  return sum / inverseLengths.length;
}

/**
 * Probability that a run ends within `share` of its expected time, as tasks of a job
 * differ from each other and the speed of a worker is known only roughly.
 */
function estimateProbabilityWithin(share: number): number {
  if (share <= 1 - UNCERTAINTY) return 0;
  if (share >= 1 + UNCERTAINTY) return 1;
  return (share - 1 + UNCERTAINTY) / (2 * UNCERTAINTY);
}
