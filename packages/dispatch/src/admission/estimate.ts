/**
 * Estimates how long the queued work keeps the workers busy, which tells a
 * caller that is refused under overload when to retry.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Job} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';

/** Share of the processors that tasks of different sizes fill on average. */
const PACKING_SHARE = 0.85;
/** Minimum retry delay for a refused caller, in ms. */
const MIN_RETRY_MS = 1_000;

/** Processor time, in thousandths of a processor times ms. */
export type Work = number;

/** Sums the processors of a service's available workers, in thousandths. */
export function sumCapacity(
  workers: Iterable<WorkerRecord>,
  service: string,
): number {
  let capacity = 0;
  for (const {info, isUnresponsive} of workers) {
    // A worker that has not been polled yet counts as available, because this
    // holder will have polled it shortly.
    const isUnavailable = info.isDraining || isUnresponsive;
    if (info.service === service && !isUnavailable)
      capacity += info.capacity.cpuMillis;
  }
  return capacity;
}

/** Estimates how long the work ahead keeps the processors busy, in ms. */
export function estimateWait(ahead: Work, capacity: number): Millis {
  if (capacity <= 0) return Infinity;
  return ahead / (capacity * PACKING_SHARE);
}

/** Chooses the retry delay: the time until the work ahead has drained. */
export function chooseRetryAfter(waitMs: Millis): Millis {
  const finite = Number.isFinite(waitMs) ? waitMs : MIN_RETRY_MS;
  return Math.max(finite, MIN_RETRY_MS);
}

/** The declared work of a job. */
export function measureWork({steps}: Job): Work {
  return steps.reduce(
    (sum, {tasks, need, estimateMs}) =>
      sum + tasks * need.cpuMillis * estimateMs,
    0,
  );
}
