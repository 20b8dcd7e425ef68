/** Applies what a worker reports of one run: when it ends, and if it stalls. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  estimateLengthFactor,
  findQuantile,
  isWorkerSlow,
} from '../../work_estimates/index.js';
import {
  RunPhase,
  type Run,
  type RunningEntry,
  type WorkerRecord,
} from '../../workers/index.js';
import type {JobRecord} from '../jobs/index.js';
import {EXPECTED_STOP_MS} from '../options.js';
import type {Registry} from '../registry.js';
import {findBlockEnd} from '../starts/index.js';
import {StrikeReason} from './health.js';
import {collectEvidence, showLength} from './slowness_evidence.js';

/** Multiple of the expected run time after which a run is overdue. */
const OVERDUE_FACTOR = 2;
/** Added to that multiple before a run counts as overdue, in ms. */
const OVERDUE_MARGIN_MS = 60;
/**
 * An overdue run counts as stalled if its extrapolated run time is at least this
 * multiple of the expected one.
 */
const STALLED_FACTOR = 4;

/** When the next run of the worker should end; Infinity without runs. */
export function findNextEndTime(worker: WorkerRecord): Millis {
  let next = Infinity;
  for (const {expectedEndAt} of worker.runs.values())
    next = Math.min(next, expectedEndAt);
  return next;
}

/** When the first run of the worker becomes overdue; Infinity without runs. */
export function findNextOverdueTime(worker: WorkerRecord): Millis {
  let next = Infinity;
  for (const run of worker.runs.values()) {
    next = Math.min(next, computeOverdueTime(run), run.recheckAt);
  }
  return next;
}

function computeOverdueTime({startedAt, expectedMs}: Run): Millis {
  return startedAt + OVERDUE_FACTOR * expectedMs + OVERDUE_MARGIN_MS;
}

/** Records the reported progress; stops a run that stalls. */
export function updateProgress(
  registry: Registry,
  run: Run,
  {percent}: RunningEntry,
  now: Millis,
): void {
  if (run.phase === RunPhase.Starting) {
    run.phase = RunPhase.Running;
    run.confirmedAt = now;
  }
  run.progress.record(percent, run.startedAt, now);
  const record = registry.jobs.get(run.recordId);
  estimateEnd(registry, record, run, now);
  const task = record?.findTask(run.key);
  if (record === undefined || task === undefined) return;
  if (run.phase !== RunPhase.Running) return;
  recordOverlong(registry, record, run, now);
  if (run.progress.isConfirmed(now) && run.progress.totalMs !== undefined) {
    const ratio = run.progress.totalMs / Math.max(run.expectedMs, 1);
    showLength(registry, record, task, run, ratio, now);
  }
  if (now < computeOverdueTime(run)) return;
  const totalMs = ((now - run.startedAt) * 100) / Math.max(percent, 1);
  if (totalMs < STALLED_FACTOR * run.expectedMs) return;
  // A task that seems to hang on a second worker as well just takes longer than
  // declared.
  if (task.movedFrom !== undefined) return;
  if (findBlockEnd(registry, task, now) !== undefined) return;
  if (!isWorkerAtFault(registry, record, run, now)) return;
  task.movedFrom = run.workerId;
  registry.runEnds.stop(run);
  registry.strikeRecorder.record(run, StrikeReason.TaskStalled, now);
}

/** Updates the set of runs that can't end before the deadlines of their jobs. */
function recordOverlong(
  {overlongRuns}: Registry,
  {job: {deadlineAt}, isInbound}: JobRecord,
  run: Run,
  now: Millis,
): void {
  // The zone that delegated the task would start it again.
  if (isInbound) return;
  const {progress, startedAt} = run;
  const isLate = run.expectedEndAt > deadlineAt;
  run.recheckAt = isLate ? progress.confirmableAt : Infinity;
  const earliestEnd = progress.findEarliestEnd(startedAt, now);
  if (earliestEnd !== undefined && earliestEnd > deadlineAt)
    overlongRuns.add(run);
  else overlongRuns.delete(run);
}

/** Whether the run stalls, or its worker is slow and another would end it earlier. */
function isWorkerAtFault(
  registry: Registry,
  record: JobRecord,
  run: Run,
  now: Millis,
): boolean {
  if (run.progress.hasStalled(run.startedAt, now)) return true;
  const evidence = collectEvidence(registry, record, run, now);
  if (!isWorkerSlow(evidence)) return false;
  const againMs = run.expectedMs * estimateLengthFactor(evidence);
  return now + EXPECTED_STOP_MS + againMs < run.expectedEndAt;
}

/**
 * Estimates the run's end from its progress, or else from the time that it has
 * taken so far.
 */
function estimateEnd(
  {runTimes}: Registry,
  record: JobRecord | undefined,
  run: Run,
  now: Millis,
): void {
  const {progress, startedAt, expectedMs} = run;
  const {totalMs} = progress;
  if (totalMs !== undefined) {
    run.expectedEndAt = startedAt + totalMs;
    return;
  }
  if (record === undefined) return;
  const tail = runTimes.getTail(record.job.queue);
  const elapsed = (now - startedAt) / Math.max(expectedMs, 1);
  const median = findQuantile(0.5, elapsed, tail);
  run.expectedEndAt = startedAt + expectedMs * median;
}
