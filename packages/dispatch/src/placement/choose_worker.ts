/**
 * Chooses the worker for one task. Answers the load of many short jobs over
 * workers of uneven speed: a task goes to the slowest worker that still ends
 * it in time, which keeps fast ones for tasks that need them, and among equals
 * to the one with the least room left, which keeps room for large tasks.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Durations} from '../speeds/index.js';
import type {Need, Step} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';

/** Spare share of the expected run time when asking whether it ends in time. */
const TIME_MARGIN = 1.2;
/** Workers whose expected run times differ by less are equally fast. */
const SPEED_STEP = 1.15;

/** The task to place. */
export interface Candidate {
  readonly queue: string;
  readonly step: Step;
  /** By when the task should end. */
  readonly dueAt: Millis;
  /** Tasks of the step on a worker, where the step limits them. */
  readonly countOn: (workerId: string) => number;
}

interface Choice {
  readonly worker: WorkerRecord;
  readonly isInTime: boolean;
  /** Steps on a logarithmic scale of expected run time. */
  readonly slowness: number;
  readonly leftMillis: number;
}

/** Whether `need` fits into `free`. */
export function fits(need: Need, free: Need): boolean {
  return (
    need.cpuMillis <= free.cpuMillis &&
    need.memoryMb <= free.memoryMb &&
    need.accelerators <= free.accelerators
  );
}

/** Whether the worker could ever run a task of the step. */
export function canEverRun(step: Step, worker: WorkerRecord): boolean {
  const {requiredLabel, need} = step;
  const {labels, capacity} = worker.info;
  if (requiredLabel !== undefined && !labels.includes(requiredLabel)) {
    return false;
  }
  return fits(need, capacity);
}

/** The best worker that has room now; undefined when none has. */
export function chooseWorker(
  candidate: Candidate,
  workers: Iterable<WorkerRecord>,
  durations: Durations,
  now: Millis,
): WorkerRecord | undefined {
  let best: Choice | undefined;
  for (const worker of workers) {
    const choice = weigh(candidate, worker, durations, now);
    if (choice === undefined) continue;
    if (best === undefined || isBetter(choice, best)) best = choice;
  }
  return best?.worker;
}

function weigh(
  {queue, step, dueAt, countOn}: Candidate,
  worker: WorkerRecord,
  durations: Durations,
  now: Millis,
): Choice | undefined {
  if (!worker.isUsable(now) || !canEverRun(step, worker)) return undefined;
  const {id, labels} = worker.info;
  const most = step.maxPerWorker;
  if (most !== undefined && countOn(id) >= most) return undefined;
  const free = worker.free();
  if (!fits(step.need, free)) return undefined;
  const isFar = step.dataRack !== undefined && !labels.includes(step.dataRack);
  const distance = isFar ? FAR_FACTOR : 1;
  const expectedMs = durations.expectOn(id, queue, step.estimateMs) * distance;
  return {
    worker,
    isInTime: now + expectedMs * TIME_MARGIN <= dueAt,
    slowness: Math.round(Math.log(expectedMs) / Math.log(SPEED_STEP)),
    leftMillis: free.cpuMillis - step.need.cpuMillis,
  };
}

/** How many times as long a task takes away from its data. */
const FAR_FACTOR = 2;

function isBetter(a: Choice, b: Choice): boolean {
  if (a.isInTime !== b.isInTime) return a.isInTime;
  if (a.slowness !== b.slowness) {
    return a.isInTime ? a.slowness > b.slowness : a.slowness < b.slowness;
  }
  return a.leftMillis < b.leftMillis;
}
