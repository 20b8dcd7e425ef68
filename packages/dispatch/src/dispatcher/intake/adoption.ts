/** Adopts runs that an earlier holder started. */
import type {Millis} from '@goldcrestpier/runtime';
import {parseTaskName} from '../../work/index.js';
import {RunPhase, type Run, type WorkerRecord} from '../../workers/index.js';
import type {Registry} from '../registry.js';
import {createRun} from '../placing/index.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';

/** Adopts a run that a worker reported; false when its job is not known. */
export function adoptReported(
  registry: Registry,
  worker: WorkerRecord,
  key: string,
  runNumber: number,
  now: Millis,
): boolean {
  const name = parseTaskName(key);
  const record = name && registry.jobs.get(name.jobId);
  const task = record?.findTask(key);
  if (record === undefined || task === undefined) return false;
  return adoptRun(registry, record, task, worker, runNumber, now);
}

/** Adopts the orphaned runs of a job. */
export function adoptOrphans(
  registry: Registry,
  record: JobRecord,
  now: Millis,
): void {
  for (const task of record.tasks) adoptOrphansOf(registry, record, task, now);
}

/** Adopts the orphaned runs of one task. */
export function adoptOrphansOf(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  now: Millis,
): void {
  for (const worker of registry.workers.values()) {
    const run = worker.orphans.get(task.key);
    if (run === undefined) continue;
    const isAdopted = adoptRun(registry, record, task, worker, run, now);
    if (isAdopted) worker.orphans.delete(task.key);
  }
}

/** Adopts the runs of a job that other zones have reported. */
export function adoptDelegated(
  registry: Registry,
  record: JobRecord,
  now: Millis,
): Run[] {
  const adopted: Run[] = [];
  for (const task of record.tasks) {
    if (task.state.kind !== 'waiting') continue;
    const found = registry.delegationSurvey.claim(task.key);
    if (found === undefined) continue;
    const {zone, run: number} = found;
    const delegated = {zone, number, startedAt: now};
    adopted.push(addDelegatedRun(registry, record, task, delegated));
  }
  return adopted;
}

function adoptRun(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  worker: WorkerRecord,
  runNumber: number,
  now: Millis,
): boolean {
  if (record.pendingOutcome !== undefined) return false;
  if (task.state.kind === 'running') {
    return reattachRun(registry, task.state.run, worker, runNumber, now);
  }
  if (task.state.kind !== 'waiting') return false;
  const found = {workerId: worker.info.id, number: runNumber, startedAt: now};
  addFoundRun(registry, record, task, found, now);
  return true;
}

/** A run that an earlier holder started on a worker of this zone. */
export interface FoundRun {
  readonly workerId: string;
  readonly number: number;
  /** Start time, as far as it is known. */
  readonly startedAt: Millis;
}

/** Marks a task as running on the worker where its run was found. */
export function addFoundRun(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  {workerId, number, startedAt}: FoundRun,
  now: Millis,
): Run {
  const {estimateMs} = task.step;
  const {queue} = record.job;
  const expectedMs = registry.runTimes.predictOn(workerId, queue, estimateMs);
  const run = createRun(record, task, workerId, expectedMs, startedAt, number);
  run.phase = RunPhase.Running;
  run.confirmedAt = now;
  registry.beginRun(record, task, run);
  return run;
}

/** A run that an earlier holder delegated to another zone. */
export interface FoundDelegation {
  readonly zone: string;
  readonly number: number;
  /** Start time, as far as it is known. */
  readonly startedAt: Millis;
}

/** Marks a task as running in the zone to which it was delegated. */
export function addDelegatedRun(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  {zone, number, startedAt}: FoundDelegation,
): Run {
  const expectedMs = registry.predictTask(record, task);
  const run = createRun(record, task, zone, expectedMs, startedAt, number);
  run.delegatedTo = zone;
  registry.beginRun(record, task, run);
  return run;
}

/** Attaches a known run to its worker, which was not listed before. */
function reattachRun(
  {runEnds}: Registry,
  known: Run,
  worker: WorkerRecord,
  runNumber: number,
  now: Millis,
): boolean {
  const {id} = worker.info;
  if (known.workerId !== id || known.number !== runNumber) return false;
  known.latestEndAt = Infinity;
  known.confirmedAt = now;
  worker.addRun(known);
  // It may be one that is to be stopped.
  runEnds.mayHaveStops = true;
  return true;
}
