/** Lists the places that one worker has for tasks of a step, now and later. */
import type {Millis} from '@goldcrestpier/runtime';
import type {RunTimes} from '../run_times/index.js';
import type {Step} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';
import {estimateWorth, type DueTimes} from './worth.js';
import {canEverRun, countFitting} from './fit.js';
import type {Place} from './place.js';
import type {UpcomingVacancies} from './upcoming_vacancies.js';

/** Factor on the run time of a task outside the rack that has its data. */
const REMOTE_DATA_FACTOR = 2;
/** Number of tasks of a step that are planned in one place in sequence. */
const MAX_WAVES = 4;
/** Maximum number of runs on a worker, which lists them all in each report. */
const MAX_RUNS_PER_WORKER = 500;
/** Time in which a worker answers as many starts as may be unanswered, in ms. */
const START_ROUND_MS = 10;

/** Tasks of one step that wait together. */
export interface Demand {
  readonly queue: string;
  readonly step: Step;
  readonly due: DueTimes;
  /** How many tasks wait. */
  readonly count: number;
  /** Counts the running tasks of the step on a worker, for its limit. */
  readonly countRunningOn: (workerId: string) => number;
  /** Number of unanswered starts up to which a worker is sent another one. */
  readonly maxUnansweredStarts: number;
}

/** Expected run times, and when current runs free their capacity. */
export interface Forecast {
  readonly runTimes: RunTimes;
  readonly upcoming: UpcomingVacancies;
}

/**
 * Lists the worker's places for the demand: those that are free now, those that
 * its current runs will free, and the same places again after a task of the
 * step has ended there.
 */
export function listPlaces(
  demand: Demand,
  worker: WorkerRecord,
  {runTimes, upcoming}: Forecast,
  now: Millis,
): Place[] {
  const {queue, step, due, count, countRunningOn} = demand;
  if (!canEverRun(step, worker)) return [];
  const {id, labels} = worker.info;
  const isDataRemote =
    step.dataRack !== undefined && !labels.includes(step.dataRack);
  const localMs = runTimes.predictOn(id, queue, step.estimateMs);
  const expectedMs = localMs * (isDataRemote ? REMOTE_DATA_FACTOR : 1);
  const maxPlaces =
    step.maxPerWorker === undefined
      ? count
      : Math.min(count, step.maxPerWorker - countRunningOn(id));
  const places = listFreePlaces(demand, worker, expectedMs, maxPlaces, now);
  const starts = places.map(() => now);
  const addLater = (at: Millis, isVacancy: boolean) => {
    if (places.length >= maxPlaces || at > due.usefulUntil) return;
    const worth = estimateWorth(due, expectedMs, at);
    places.push({kind: 'later', worker, worth, expectedMs, isVacancy});
  };
  for (const vacantAt of upcoming.listTimes(worker)) {
    addLater(vacantAt, true);
    starts.push(vacantAt);
  }
  for (let wave = 1; wave < MAX_WAVES; wave += 1) {
    for (const start of starts) addLater(start + wave * expectedMs, false);
  }
  return places;
}

function listFreePlaces(
  {step, due, maxUnansweredStarts}: Demand,
  worker: WorkerRecord,
  expectedMs: Millis,
  maxPlaces: number,
  now: Millis,
): Place[] {
  const free = worker.computeFreeResources();
  const count = Math.min(
    maxPlaces,
    countFitting(step.need, free),
    MAX_RUNS_PER_WORKER - worker.runs.size,
  );
  const startable = worker.startWindow.countRoom(maxUnansweredStarts);
  const worth = count > 0 ? estimateWorth(due, expectedMs, now) : 0;
  const places: Place[] = [];
  for (let taken = 1; taken <= Math.min(count, startable); taken += 1) {
    const remainingMillis = free.cpuMillis - taken * step.need.cpuMillis;
    places.push({kind: 'free', worker, worth, expectedMs, remainingMillis});
  }
  for (let taken = startable + 1; taken <= count; taken += 1) {
    const rounds = Math.ceil((taken - startable) / maxUnansweredStarts);
    const startAt = now + rounds * START_ROUND_MS;
    const laterWorth = estimateWorth(due, expectedMs, startAt);
    places.push({kind: 'deferred', worth: laterWorth, expectedMs});
  }
  return places;
}
