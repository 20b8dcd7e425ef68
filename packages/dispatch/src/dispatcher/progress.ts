/** Hands the state of a job from one holder to the next. */
import type {Millis} from '@goldcrestpier/runtime';
import type {
  JobProgress,
  TaskProgress,
  TaskProgressState,
} from '../work/index.js';
import type {Run} from '../workers/index.js';
import {beginFoundRun, beginLentRun} from './adoption.js';
import type {Board} from './board.js';
import type {JobRecord, TaskRecord} from './job_record.js';

/** What is known here of a job. */
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
  const {run, workerId, lentTo: zone, startedAt} = state.run;
  const tookMs = now - startedAt;
  if (zone !== undefined) return {kind: 'lent', run, zone, tookMs};
  return {kind: 'running', run, workerId, tookMs};
}

/**
 * Takes what the holder before knew of a job. Its runs count as going on until
 * their workers tell otherwise, or until `overAt`, when their leases are over.
 * Returns the runs in other zones, whose ends have to be asked for.
 */
export function takeProgress(
  board: Board,
  record: JobRecord,
  {isComplete, tasks}: JobProgress,
  overAt: Millis,
  now: Millis,
): Run[] {
  const lent: Run[] = [];
  for (const progress of tasks) {
    const task = record.findTask(progress.key);
    if (task === undefined || task.state.kind !== 'waiting') continue;
    task.lastRun = Math.max(task.lastRun, progress.lastRun);
    task.failures = Math.max(task.failures, progress.failures);
    const run = takeState(board, record, task, progress.state, overAt, now);
    if (run?.lentTo !== undefined) lent.push(run);
  }
  if (isComplete) record.mayRunUnseen = false;
  return lent;
}

function takeState(
  board: Board,
  record: JobRecord,
  task: TaskRecord,
  state: TaskProgressState,
  overAt: Millis,
  now: Millis,
): Run | undefined {
  switch (state.kind) {
    case 'waiting':
      return undefined;
    case 'done':
      task.state = {kind: 'done'};
      return undefined;
    case 'running':
      return takeRun(board, record, task, state, overAt, now);
    case 'lent':
      return beginLentRun(board, record, task, {
        zone: state.zone,
        number: state.run,
        startedAt: now - state.tookMs,
      });
  }
}

function takeRun(
  board: Board,
  record: JobRecord,
  task: TaskRecord,
  {run: number, workerId, tookMs}: TaskProgressState & {kind: 'running'},
  overAt: Millis,
  now: Millis,
): Run {
  const found = {workerId, number, startedAt: now - tookMs};
  const run = beginFoundRun(board, record, task, found, now);
  const worker = board.workers.get(workerId);
  if (worker === undefined) run.overAt = overAt;
  else worker.leasesOverAt = Math.max(worker.leasesOverAt, overAt);
  worker?.orphans.delete(task.key);
  return run;
}
