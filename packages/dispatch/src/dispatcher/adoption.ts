/** Takes over runs that an earlier holder started. */
import type {Millis} from '@goldcrestpier/runtime';
import {parseTaskName} from '../work/index.js';
import {RunPhase, type Run, type WorkerRecord} from '../workers/index.js';
import type {Board} from './board.js';
import {createRun} from './create_run.js';
import type {JobRecord, TaskRecord} from './job_record.js';

/** Takes over what runs on a worker, if its job is known. */
export function adopt(
  board: Board,
  worker: WorkerRecord,
  key: string,
  run: number,
  now: Millis,
): boolean {
  const name = parseTaskName(key);
  const record = name && board.jobs.get(name.jobId);
  const task = record?.findTask(key);
  if (record === undefined || task === undefined) return false;
  return adoptRun(board, record, task, worker, run, now);
}

/** Takes over what runs of a job that has just become known. */
export function adoptOrphans(
  board: Board,
  record: JobRecord,
  now: Millis,
): void {
  for (const task of record.tasks) {
    for (const worker of board.workers.values()) {
      const run = worker.orphans.get(task.key);
      if (run === undefined) continue;
      const isAdopted = adoptRun(board, record, task, worker, run, now);
      if (isAdopted) worker.orphans.delete(task.key);
    }
  }
}

/** Takes over what other zones run of a job. */
export function adoptLent(board: Board, record: JobRecord, now: Millis): Run[] {
  const adopted: Run[] = [];
  for (const task of record.tasks) {
    if (task.state.kind !== 'waiting') continue;
    const found = board.survey.take(task.key);
    if (found === undefined) continue;
    const {zone, run: number} = found;
    const lent = {zone, number, startedAt: now};
    adopted.push(beginLentRun(board, record, task, lent));
  }
  return adopted;
}

function adoptRun(
  board: Board,
  record: JobRecord,
  task: TaskRecord,
  worker: WorkerRecord,
  run: number,
  now: Millis,
): boolean {
  if (record.ending !== undefined) return false;
  if (task.state.kind === 'running') {
    return findAgain(task.state.run, worker, run, now);
  }
  if (task.state.kind !== 'waiting') return false;
  const found = {workerId: worker.info.id, number: run, startedAt: now};
  beginFoundRun(board, record, task, found, now);
  return true;
}

/** A run that an earlier holder started on a worker of the zone. */
export interface FoundRun {
  readonly workerId: string;
  readonly number: number;
  /** As far as is known. */
  readonly startedAt: Millis;
}

/** Counts a task as running where it was found, or told of. */
export function beginFoundRun(
  board: Board,
  record: JobRecord,
  task: TaskRecord,
  {workerId, number, startedAt}: FoundRun,
  now: Millis,
): Run {
  const {estimateMs} = task.step;
  const {queue} = record.job;
  const expectedMs = board.durations.expectOn(workerId, queue, estimateMs);
  const run = createRun(record, task, workerId, expectedMs, startedAt, number);
  run.phase = RunPhase.Running;
  run.confirmedAt = now;
  board.beginRun(record, task, run);
  return run;
}

/** A run that an earlier holder lent to another zone. */
export interface LentAway {
  readonly zone: string;
  readonly number: number;
  /** As far as is known. */
  readonly startedAt: Millis;
}

/** Counts a task as running in the zone that it was lent to. */
export function beginLentRun(
  board: Board,
  record: JobRecord,
  task: TaskRecord,
  {zone, number, startedAt}: LentAway,
): Run {
  const expectedMs = board.expectTask(record, task);
  const run = createRun(record, task, zone, expectedMs, startedAt, number);
  run.lentTo = zone;
  board.beginRun(record, task, run);
  return run;
}

/** Takes a run to its worker that was not listed when the run was told of. */
function findAgain(
  known: Run,
  worker: WorkerRecord,
  run: number,
  now: Millis,
): boolean {
  const {id} = worker.info;
  if (known.workerId !== id || known.run !== run) return false;
  known.overAt = Infinity;
  known.confirmedAt = now;
  worker.addRun(known);
  return true;
}
