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

interface Choice extends WorkerChoice {
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

/** A worker for a task, and the worth to expect of it there. */
export interface WorkerChoice {
  readonly worker: WorkerRecord;
  readonly worth: number;
  readonly expectedMs: Millis;
}

/** The best of the workers that have room now. */
export function chooseFree(
  candidate: Candidate,
  workers: readonly WorkerRecord[],
  durations: Durations,
  now: Millis,
): WorkerChoice | undefined {
  const free: Choice[] = [];
  let best = 0;
  for (const worker of workers) {
    if (!hasRoom(candidate, worker)) continue;
    const choice = weigh(candidate, worker, durations, now);
    best = Math.max(best, choice.worth);
    free.push(choice);
  }
  const good = free.filter(({worth}) => worth >= best * GOOD_SHARE);
  return good.sort(compareChoices)[0];
}

/** The best of the vacancies to come on busy workers. */
export function chooseLater(
  candidate: Candidate,
  workers: readonly WorkerRecord[],
  durations: Durations,
  prospects: Prospects,
): WorkerChoice | undefined {
  let later: Choice | undefined;
  for (const worker of workers) {
    if (!canEverRun(candidate.step, worker)) continue;
    if (hasRoom(candidate, worker)) continue;
    const vacantAt = prospects.nextVacancy(worker);
    if (vacantAt >= candidate.due.usefulUntil) continue;
    const choice = weigh(candidate, worker, durations, vacantAt);
    if (later === undefined || choice.worth > later.worth) later = choice;
  }
  return later;
}

/** Whether a vacancy to come is worth waiting for, as others may take it. */
export function isWorthWaiting(later: number, free: number): boolean {
  return later > free + WAIT_GAIN;
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
  if (!canEverRun(step, worker)) return false;
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
