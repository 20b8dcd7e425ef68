/**
 * Judges whether a run takes long because its worker is slow or because its task
 * is long. The odds start from how often either occurs; tasks of the same job on
 * other workers and other runs on the same worker then count for or against the
 * worker.
 */
import {estimateProbability, NO_TAIL} from './run_time_distribution.js';

/** Share of runs that meet a worker which has become slow. */
const SLOW_WORKER_SHARE = 0.01;
/** Minimum share of long tasks, as a queue may have them without showing any. */
const MIN_TAIL_SHARE = 0.002;
/** Multiple from which a run is slower than another one, or than predicted. */
export const SLOWER_FACTOR = 1.8;
/**
 * Log of the odds of one piece of evidence: nine of ten runs on a slow worker
 * are slow, and about one in twenty elsewhere.
 */
const RUN_WEIGHT = 2.9;
/**
 * The same for the other tasks of the job. They share its factor, but the length
 * of a single one may differ, so that they say a little less.
 */
const SIBLING_WEIGHT = 2.3;

/** What is known beside a run that takes long. */
export interface SlownessEvidence {
  /** Multiple of its expected time that the run takes. */
  readonly ratio: number;
  /** The same of tasks of its job on other workers. */
  readonly siblings: readonly number[];
  /** The same of other jobs' runs on its worker, now or recently. */
  readonly neighbours: readonly number[];
  /** Share of the queue's tasks that are far longer than declared. */
  readonly tailShare: number;
}

/** Whether the evidence points at the worker rather than the task. */
export function isWorkerSlow(evidence: SlownessEvidence): boolean {
  const {ratio, siblings, neighbours, tailShare} = evidence;
  if (ratio < SLOWER_FACTOR) return false;
  const longShare =
    Math.max(tailShare, MIN_TAIL_SHARE) +
    1 -
    estimateProbability(ratio, NO_TAIL);
  let odds = Math.log(SLOW_WORKER_SHARE / longShare);
  const sibling = findMedian(siblings);
  if (sibling !== undefined)
    odds += ratio >= SLOWER_FACTOR * sibling ? SIBLING_WEIGHT : -SIBLING_WEIGHT;
  const neighbour = findMedian(neighbours);
  if (neighbour !== undefined)
    odds += neighbour >= SLOWER_FACTOR ? RUN_WEIGHT : -RUN_WEIGHT;
  return odds > 0;
}

/** Multiple of its prediction that the task takes on another worker. */
export function estimateLengthFactor(evidence: SlownessEvidence): number {
  const {ratio, siblings, neighbours} = evidence;
  const sibling = findMedian(siblings);
  if (!isWorkerSlow(evidence)) {
    // Of a difference that the tasks of a job usually have, either may be the
    // cause; a greater one is the task's.
    if (sibling === undefined || ratio >= SLOWER_FACTOR * sibling) return ratio;
    return Math.sqrt(ratio * sibling);
  }
  if (sibling !== undefined) return sibling;
  const neighbour = findMedian(neighbours) ?? 1;
  return neighbour <= 1 ? 1 : Math.max(1, ratio / neighbour);
}

/** Finds the median; undefined of an empty list. */
function findMedian(values: readonly number[]): number | undefined {
  return [...values].sort((a, b) => a - b)[values.length >> 1];
}
