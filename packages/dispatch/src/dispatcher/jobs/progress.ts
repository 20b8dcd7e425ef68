/** Transfers the state of a job from one holder to the next. */
import type {Millis} from '@goldcrestpier/runtime';
import type {
  JobProgress,
  TaskProgress,
  TaskProgressState,
} from '../../work/index.js';
import type {Run} from '../../workers/index.js';
import {addFoundRun, addDelegatedRun} from '../intake/index.js';
import type {Registry} from '../registry.js';
import type {JobRecord} from './job_record.js';
import type {TaskRecord} from './task_record.js';

/** Describes the state of a job for the next holder. */
export function describeProgress(
  record: JobRecord,
  isComplete: boolean,
  now: Millis,
): JobProgress {
  const tasks: TaskProgress[] = [];
  for (const {key, lastRun, failures, state} of record.tasks) {
    if (lastRun === 0) continue;
    tasks.push({key, lastRun, failures, state: describeState(state, now)});
  }
  return {isComplete, tasks};
}

function describeState(
  state: TaskRecord['state'],
  now: Millis,
): TaskProgressState {
  if (state.kind !== 'running') return {kind: state.kind};
  const {number: run, workerId, delegatedTo: zone, startedAt} = state.run;
  const tookMs = now - startedAt;
  if (zone !== undefined) return {kind: 'lent', run, zone, tookMs};
  return {kind: 'running', run, workerId, tookMs};
}

/**
 * Applies the previous holder's progress of a job. Its runs count as running
 * until their workers report otherwise, or until their leases expire at
 * `latestEndAt`. Returns the runs in other zones, whose results have to be
 * requested.
 */
export function applyProgress(
  registry: Registry,
  record: JobRecord,
  {isComplete, tasks}: JobProgress,
  latestEndAt: Millis,
  now: Millis,
): Run[] {
  const delegated: Run[] = [];
  for (const progress of tasks) {
    const task = record.findTask(progress.key);
    if (task === undefined || task.state.kind !== 'waiting') continue;
    task.lastRun = Math.max(task.lastRun, progress.lastRun);
    task.failures = Math.max(task.failures, progress.failures);
    const run = applyState(
      registry,
      record,
      task,
      progress.state,
      latestEndAt,
      now,
    );
    if (run?.delegatedTo !== undefined) delegated.push(run);
  }
  if (isComplete) record.mayHaveUnknownRuns = false;
  return delegated;
}

function applyState(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  state: TaskProgressState,
  latestEndAt: Millis,
  now: Millis,
): Run | undefined {
  switch (state.kind) {
    case 'waiting':
      return undefined;
    case 'done':
      record.setState(task, {kind: 'done'});
      return undefined;
    case 'running':
      return addRun(registry, record, task, state, latestEndAt, now);
    case 'lent':
      return addDelegatedRun(registry, record, task, {
        zone: state.zone,
        number: state.run,
        startedAt: now - state.tookMs,
      });
  }
}

function addRun(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  {run: number, workerId, tookMs}: TaskProgressState & {kind: 'running'},
  latestEndAt: Millis,
  now: Millis,
): Run {
  const found = {workerId, number, startedAt: now - tookMs};
  const run = addFoundRun(registry, record, task, found, now);
  const worker = registry.workers.get(workerId);
  if (worker === undefined) registry.runEnds.bound(run, latestEndAt);
  else worker.leasesExpireAt = Math.max(worker.leasesExpireAt, latestEndAt);
  worker?.orphans.delete(task.key);
  return run;
}
