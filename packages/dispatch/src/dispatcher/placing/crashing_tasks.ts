/**
 * Limits the damage of tasks that crash their workers. A task whose worker has
 * crashed runs alone on its next worker; a job with a task under which several
 * workers have crashed fails.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {CrashVerdict} from '../../crashes/index.js';
import {canEverRun} from '../../placement/index.js';
import {AbandonReason, createAbandoned} from '../../work/index.js';
import type {Run, WorkerRecord} from '../../workers/index.js';
import type {StartCommand} from '../commands.js';
import {createRun} from './create_run.js';
import type {JobRecord, TaskRecord} from '../jobs/index.js';
import type {PlacementRound} from './placement_round.js';
import type {Registry} from '../registry.js';

/** Largest share of a service's workers that are kept free at a time. */
const MAX_RESERVED_SHARE = 0.1;

/** Fails the jobs that have a task which crashes its workers. */
export function failCrashingJobs(registry: Registry, now: Millis): void {
  for (const jobId of registry.history.crashes.jobIds) {
    const record = registry.jobs.get(jobId);
    if (record !== undefined) failIfCrashing(registry, record, now);
  }
}

function failIfCrashing(
  registry: Registry,
  record: JobRecord,
  now: Millis,
): void {
  if (record.pendingOutcome !== undefined) return;
  const crashing = record.tasks.find(
    ({key, state}) =>
      state.kind !== 'done' &&
      registry.history.crashes.judge(key) === CrashVerdict.Crashing,
  );
  if (crashing === undefined) return;
  const workers = registry.history.crashes.listWorkers(crashing.key);
  if (workers.some(id => mayAnswer(registry.workers.get(id)))) return;
  registry.observer.jobFailedByCrashes(record.id, crashing.key, workers);
  registry.endJob(record, {kind: 'failed'}, now);
}

/** Whether the first poll of a worker may show that it has not crashed. */
function mayAnswer(worker: WorkerRecord | undefined): boolean {
  if (worker === undefined) return false;
  return !worker.hasAcceptedToken && !worker.isUnresponsive;
}

/**
 * Starts the suspected tasks of these jobs on workers without other runs. Where
 * there is none, the worker that will be free first gets no other tasks.
 */
export function placeSuspectedTasks(
  registry: Registry,
  jobs: readonly JobRecord[],
  round: PlacementRound,
  now: Millis,
): StartCommand[] {
  const commands: StartCommand[] = [];
  const reservations = new Reservations(registry, round);
  for (const record of jobs) {
    if (!registry.history.crashes.hasJob(record.submittedId)) continue;
    for (const task of listSuspects(registry, record, now)) {
      const run = startAlone(registry, record, task, round, reservations, now);
      if (run === undefined) continue;
      commands.push({kind: 'start', run, payload: record.job.payload});
    }
  }
  return commands;
}

/** Whether the task may only run alone. */
export function mustRunAlone(registry: Registry, {key}: TaskRecord): boolean {
  return registry.history.crashes.judge(key) !== CrashVerdict.Harmless;
}

function listSuspects(
  {history}: Registry,
  record: JobRecord,
  now: Millis,
): TaskRecord[] {
  return [...record.readyTasks()].filter(
    ({key}) =>
      history.crashes.judge(key) === CrashVerdict.Suspected &&
      history.unansweredStarts.findEnd(key, now) === undefined,
  );
}

function startAlone(
  registry: Registry,
  record: JobRecord,
  task: TaskRecord,
  round: PlacementRound,
  reservations: Reservations,
  now: Millis,
): Run | undefined {
  if (record.pendingOutcome !== undefined) return undefined;
  const expectedMs = registry.predictTask(record, task);
  // Its start may cost another worker, so it needs an answer that is of use.
  if (now + expectedMs > record.usefulUntil) {
    // The crash shows that a task was started, so the job is not refused.
    const outcome = createAbandoned(AbandonReason.WorkerCrashed);
    registry.endJob(record, outcome, now);
    return undefined;
  }
  const {service, queue} = record.job;
  const predictOn = ({info}: WorkerRecord) =>
    registry.runTimes.predictOn(info.id, queue, task.step.estimateMs);
  const workers = round
    .usableWorkers(service)
    .filter(worker => canEverRun(task.step, worker))
    .filter(worker => now + predictOn(worker) <= record.usefulUntil);
  const free = findSmallest(workers.filter(({runs}) => runs.size === 0));
  if (free === undefined) {
    reservations.reserveNext(workers, service);
    return undefined;
  }
  const run = createRun(record, task, free.info.id, predictOn(free), now);
  registry.beginRun(record, task, run);
  free.startWindow.add(run);
  round.exclude(free);
  return run;
}

/** Keeps a few workers free of other tasks until their runs have ended. */
class Reservations {
  private readonly counts = new Map<string, number>();

  constructor(
    private readonly registry: Registry,
    private readonly round: PlacementRound,
  ) {}

  /** Reserves the worker whose last run ends first, if the limit allows. */
  reserveNext(workers: readonly WorkerRecord[], service: string): void {
    const count = this.counts.get(service) ?? 0;
    const total = [...this.registry.iterateWorkers(service)].length;
    if (count >= total * MAX_RESERVED_SHARE) return;
    let next: WorkerRecord | undefined;
    for (const worker of workers) {
      if (next === undefined || findFreeTime(worker) < findFreeTime(next))
        next = worker;
    }
    if (next === undefined) return;
    this.counts.set(service, count + 1);
    this.round.exclude(next);
  }
}

function findFreeTime({runs}: WorkerRecord): Millis {
  let freeAt = 0;
  for (const {expectedEndAt} of runs.values())
    freeAt = Math.max(freeAt, expectedEndAt);
  return freeAt;
}

/** Finds the worker with the fewest processors, whose crash costs least. */
function findSmallest(
  workers: readonly WorkerRecord[],
): WorkerRecord | undefined {
  let smallest: WorkerRecord | undefined;
  for (const worker of workers) {
    const {cpuMillis} = worker.info.capacity;
    const least = smallest?.info.capacity.cpuMillis ?? Infinity;
    if (cpuMillis < least) smallest = worker;
  }
  return smallest;
}
