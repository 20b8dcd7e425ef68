/**
 * Workers that have restarted, and that are slow for a while after it. What was
 * learned of a worker's speed before does not count for the time after.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {RunTimes} from '../../run_times/index.js';
import type {Run, WorkerRecord} from '../../workers/index.js';

/** Applies what a worker's entry says about how long it is cold. */
export function updateColdness(
  runTimes: RunTimes,
  worker: WorkerRecord,
  coldUntil: Millis | undefined,
  now: Millis,
): void {
  const wasCold = worker.isCold;
  // A stale entry names a time that has passed.
  worker.isCold = coldUntil !== undefined && coldUntil > now;
  if (worker.isCold === wasCold) return;
  runTimes.forgetSpeed(worker.info.id);
  if (wasCold) worker.warmSince = now;
}

/** Learns from a successful run what it shows of the worker's speed. */
export function learnRunTime(
  runTimes: RunTimes,
  worker: WorkerRecord | undefined,
  run: Run,
  {queue, estimateMs}: {readonly queue: string; readonly estimateMs: Millis},
  tookMs: Millis,
): void {
  const {workerId, startedAt} = run;
  if (worker?.isCold === true)
    runTimes.learnCold(workerId, queue, estimateMs, tookMs);
  // A run that began while the worker was cold shows neither speed.
  else if (worker === undefined || startedAt >= worker.warmSince)
    runTimes.learn(workerId, queue, estimateMs, tookMs);
}
