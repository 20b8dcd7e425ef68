/** Collects the evidence for a slow worker or for a long task. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  isWorkerSlow,
  SLOWER_FACTOR,
  type SlownessEvidence,
} from '../../work_estimates/index.js';
import {RunPhase, type Run} from '../../workers/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import type {Registry} from '../registry.js';

/** Number of other tasks of a job that are compared. */
const MAX_SIBLINGS = 16;

/** Collects the evidence on a run; its ratio is 1 while it shows no progress. */
export function collectEvidence(
  registry: Registry,
  record: JobRecord,
  run: Run,
  now: Millis,
): SlownessEvidence {
  return {
    ratio: findRatio(run) ?? 1,
    siblings: listSiblings(record, run),
    neighbours: listNeighbours(registry, run, now),
    tailShare: registry.runTimes.getTail(record.job.queue).share,
  };
}

/**
 * Records the length that a task shows with a run of `ratio` times its expected
 * time, unless that is the worker's fault.
 */
export function showLength(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  run: Run,
  ratio: number,
  now: Millis,
): void {
  if (ratio >= SLOWER_FACTOR) {
    const evidence = collectEvidence(registry, record, run, now);
    if (isWorkerSlow({...evidence, ratio})) return;
  }
  record.showLength(task, ratio * registry.predictTask(record, task));
}

/** The run's time relative to the expected one; undefined if it is unknown. */
function findRatio({phase, progress, expectedMs}: Run): number | undefined {
  if (phase !== RunPhase.Running || progress.totalMs === undefined)
    return undefined;
  return progress.totalMs / Math.max(expectedMs, 1);
}

function listSiblings(record: JobRecord, {workerId}: Run): readonly number[] {
  const ratios: number[] = [];
  for (const {state, finished} of record.tasks) {
    if (ratios.length === MAX_SIBLINGS) break;
    const isDone = state.kind === 'done' && finished !== undefined;
    if (isDone && finished.workerId !== workerId) ratios.push(finished.ratio);
    if (state.kind !== 'running' || state.run.workerId === workerId) continue;
    const ratio = findRatio(state.run);
    if (ratio !== undefined) ratios.push(ratio);
  }
  return ratios;
}

function listNeighbours(
  {workers, recentRuns}: Registry,
  {workerId, recordId, startedAt}: Run,
  now: Millis,
): readonly number[] {
  const ratios: number[] = [];
  for (const other of workers.get(workerId)?.runs.values() ?? []) {
    const ratio = other.recordId === recordId ? undefined : findRatio(other);
    if (ratio !== undefined) ratios.push(ratio);
  }
  for (const {ratio, at} of recentRuns.list(workerId, recordId, now)) {
    // The worker may have become slow after a run that was not.
    if (ratio >= SLOWER_FACTOR || at >= startedAt) ratios.push(ratio);
  }
  return ratios;
}
