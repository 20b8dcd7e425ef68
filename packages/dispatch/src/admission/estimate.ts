/**
 * Estimates how long work keeps the workers busy. Answers more load than they
 * can serve: a caller that is refused is told when to come back.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';

/** Share of the processors that tasks of odd sizes fill on average. */
const PACKING_SHARE = 0.85;
/** Shortest wait that a refused caller is told, in ms. */
const SHORTEST_RETRY_MS = 1_000;

/** Processor time, in thousandths of a core x ms. */
export type Work = number;

/** Processors that usable workers of a service have, in thousandths. */
export function sumCapacity(
  workers: Iterable<WorkerRecord>,
  service: string,
): number {
  let capacity = 0;
  for (const {info, isSilent} of workers) {
    // One that this holder has not looked at yet will be held in a moment.
    const isOut = info.isDraining || isSilent;
    if (info.service === service && !isOut) capacity += info.capacity.cpuMillis;
  }
  return capacity;
}

/** How long work ahead keeps the processors busy. */
export function estimateWait(ahead: Work, capacity: number): Millis {
  if (capacity <= 0) return Infinity;
  return ahead / (capacity * PACKING_SHARE);
}

/** When a refused caller may come back: once the work ahead has drained. */
export function chooseRetryAfter(waitMs: Millis): Millis {
  const finite = Number.isFinite(waitMs) ? waitMs : SHORTEST_RETRY_MS;
  return Math.max(finite, SHORTEST_RETRY_MS);
}
