/**
 * Chooses the worker for one task. Answers the load of many short jobs over
 * workers of uneven speed: a task goes to the slowest worker on which it is
 * almost as likely to end in time as on the best free one, which keeps fast
 * workers for tasks that need them, and among equals to the one with the least
 * room left, which keeps room for large tasks. A task that would hardly end in
 * time on any free worker waits for a faster one.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Durations} from '../speeds/index.js';
import type {Need, Step} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';
import {expectWorth, type Due} from './chance.js';
import type {Prospects} from './prospects.js';

/** Workers count as equally good that bring this share of the best worth. */
const GOOD_SHARE = 0.95;
/** A vacancy to come must be better by this, as others may take it. */
const WAIT_GAIN = 0.1;
/** How many times as long a task takes away from its data. */
const FAR_FACTOR = 2;

/** The task to place. */
export interface Candidate {
  readonly queue: string;
  readonly step: Step;
  readonly due: Due;
  /** Tasks of the step on a worker, where the step limits them. */
  readonly countOn: (workerId: string) => number;
}

interface Choice {
  readonly worker: WorkerRecord;
  readonly worth: number;
  readonly expectedMs: Millis;
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

/** Where a task should go, and the worth to expect of it there. */
export type LocalPlace =
  | {
      readonly kind: 'now';
      readonly worker: WorkerRecord;
      readonly worth: number;
    }
  /** It should wait for this worker's next vacancy. */
  | {
      readonly kind: 'later';
      readonly worker: WorkerRecord;
      readonly worth: number;
    }
  | {readonly kind: 'none'; readonly worth: 0};

/** The worker to start a task on, now or soon. */
export function chooseWorker(
  candidate: Candidate,
  workers: Iterable<WorkerRecord>,
  durations: Durations,
  prospects: Prospects,
  now: Millis,
): LocalPlace {
  const free: Choice[] = [];
  let later: Choice | undefined;
  for (const worker of workers) {
    if (!worker.isUsable(now) || !canEverRun(candidate.step, worker)) continue;
    if (hasRoom(candidate, worker)) {
      free.push(weigh(candidate, worker, durations, now));
      continue;
    }
    const vacantAt = prospects.nextVacancy(worker);
    const choice = weigh(candidate, worker, durations, vacantAt);
    if (later === undefined || choice.worth > later.worth) later = choice;
  }
  const best = Math.max(0, ...free.map(({worth}) => worth));
  if (later !== undefined && later.worth > best + WAIT_GAIN) {
    return {kind: 'later', worker: later.worker, worth: later.worth};
  }
  const good = free.filter(({worth}) => worth >= best * GOOD_SHARE);
  const [choice] = good.sort(compareChoices);
  if (choice === undefined) return {kind: 'none', worth: 0};
  return {kind: 'now', worker: choice.worker, worth: choice.worth};
}

function weigh(
  {queue, step, due}: Candidate,
  worker: WorkerRecord,
  durations: Durations,
  startAt: Millis,
): Choice {
  const {id, labels} = worker.info;
  const isFar = step.dataRack !== undefined && !labels.includes(step.dataRack);
  const expectedMs =
    durations.expectOn(id, queue, step.estimateMs) * (isFar ? FAR_FACTOR : 1);
  return {
    worker,
    worth: expectWorth(due, expectedMs, startAt),
    expectedMs,
    leftMillis: worker.free().cpuMillis - step.need.cpuMillis,
  };
}

function hasRoom({step, countOn}: Candidate, worker: WorkerRecord): boolean {
  const most = step.maxPerWorker;
  if (most !== undefined && countOn(worker.info.id) >= most) return false;
  return fits(step.need, worker.free());
}

/** Slower first, in steps of a tenth; then the one with less room left. */
function compareChoices(a: Choice, b: Choice): number {
  const slower = toSpeedStep(b) - toSpeedStep(a);
  return slower !== 0 ? slower : a.leftMillis - b.leftMillis;
}

function toSpeedStep({expectedMs}: Choice): number {
  return Math.round(Math.log(Math.max(expectedMs, 1)) * SPEED_STEPS);
}

/** Steps on the logarithmic scale of expected run times. */
const SPEED_STEPS = 7;
