/** Learns from a run that has done its task in this zone. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Run} from '../../workers/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import type {Registry} from '../registry.js';
import {learnRunTime} from './cold_workers.js';
import {showLength} from './slowness_evidence.js';

/**
 * Learns the length of the task, the speed of the worker, and whether the progress
 * that the run reported was right.
 */
export function learnFromRun(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  run: Run,
  now: Millis,
): void {
  const {progressTrust, recentRuns, runTimes, workers} = registry;
  const {queue} = record.job;
  const {estimateMs} = task.step;
  const {workerId, progress} = run;
  const tookMs = now - run.startedAt;
  const shownMs = progress.isConfirmed(now) ? progress.totalMs : undefined;
  if (progress.hasGoneBack) progressTrust.learn(queue, 0);
  else if (shownMs !== undefined) progressTrust.learn(queue, tookMs / shownMs);
  const ratio = tookMs / Math.max(run.expectedMs, 1);
  task.finished = {workerId, ratio};
  showLength(registry, record, task, run, ratio, now);
  recentRuns.add(workerId, record.id, ratio, now);
  const worker = workers.get(workerId);
  learnRunTime(runTimes, worker, run, {queue, estimateMs}, tookMs);
}
