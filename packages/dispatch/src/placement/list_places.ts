/** Finds the places that one worker has for tasks of a step, now and later. */
import type {Millis} from '@goldcrestpier/runtime';
import type {RunTimes} from '../run_times/index.js';
import type {Resources, Step} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';
import {estimateWorth, type DueTimes} from './worth.js';
import {canEverRun, countFitting, subtract} from './fit.js';
import {weighLater, type Place} from './place.js';
import type {CapacityForecast} from './capacity_forecast.js';
import {LIKELY_FACTOR} from '../work_estimates/index.js';

/** Default factor on the run time of a task outside the rack that has its data. */
export const DEFAULT_REMOTE_FACTOR = 2;
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
  /**
   * Whether reservations don't count, as the task was delegated to capacity that
   * has been offered as free and is refused if it can't start now.
   */
  readonly ignoresReservations: boolean;
}

/** Expected run times, and when current runs free their capacity. */
export interface Forecast {
  readonly runTimes: RunTimes;
  readonly upcoming: CapacityForecast;
}

/** What one worker offers for a demand. */
export interface WorkerOffer {
  readonly worker: WorkerRecord;
  readonly expectedMs: Millis;
  /** Maximum number of its places. */
  readonly maxPlaces: number;
  /** The places that are free now. */
  readonly free: readonly Place[];
  /** Weight that none of its later places exceeds; -1 if it has none. */
  readonly maxLaterWeight: number;
}

/**
 * Finds what the worker offers for the demand; undefined if it can't run it. Its
 * later places aren't listed yet, as most of them are of no interest.
 */
export function findOffer(
  demand: Demand,
  worker: WorkerRecord,
  {runTimes, upcoming}: Forecast,
  now: Millis,
): WorkerOffer | undefined {
  const {queue, step, due} = demand;
  if (!canEverRun(step, worker)) return undefined;
  const {id, labels} = worker.info;
  const isDataRemote =
    step.dataRack !== undefined && !labels.includes(step.dataRack);
  const localMs = runTimes.predictOn(id, queue, step.estimateMs);
  const expectedMs = localMs * (isDataRemote ? upcoming.remoteFactor : 1);
  const maxPlaces = limitPlaces(demand, id);
  const resources = demand.ignoresReservations
    ? worker.computeFreeResources()
    : upcoming.findFree(worker, expectedMs * LIKELY_FACTOR);
  const limits = {expectedMs, maxPlaces};
  const free = listFreePlaces(demand, worker, resources, limits, now);
  const vacancyAt =
    free.length < maxPlaces
      ? upcoming.findVacancy(worker, step.need)
      : Infinity;
  const laterAt =
    free.length > 0 ? Math.min(vacancyAt, now + expectedMs) : vacancyAt;
  const hasLater = free.length < maxPlaces && laterAt <= due.usefulUntil;
  const maxLaterWeight = hasLater
    ? weighLater(estimateWorth(due, expectedMs, laterAt))
    : -1;
  return {worker, expectedMs, maxPlaces, free, maxLaterWeight};
}

function limitPlaces(
  {step, count, countRunningOn}: Demand,
  workerId: string,
): number {
  if (step.maxPerWorker === undefined) return count;
  return Math.min(count, step.maxPerWorker - countRunningOn(workerId));
}

/**
 * Adds the worker's later places to `places`: those that its current runs will
 * free, and the same places, or the free ones, again after a task of the step
 * has ended there. Those of less weight than `minWeight` are left out.
 */
export function addLaterPlaces(
  places: Place[],
  {due, step}: Demand,
  {worker, expectedMs, maxPlaces, free}: WorkerOffer,
  upcoming: CapacityForecast,
  minWeight: number,
  now: Millis,
): void {
  const vacantAt = upcoming.listVacancies(worker, step.need, maxPlaces);
  let left = maxPlaces - free.length;
  // The worth falls with time, so later places are too late as well.
  let tooLateAt = Infinity;
  for (let wave = 0; wave < MAX_WAVES; wave += 1) {
    const isVacancy = wave === 0;
    // A task that starts on a free place now is no later place itself.
    const first = isVacancy ? free.length : 0;
    for (let index = first; index < free.length + vacantAt.length; index += 1) {
      const isFree = index < free.length;
      const start = isFree ? now : (vacantAt[index - free.length] ?? now);
      const at = isVacancy ? start : start + wave * expectedMs;
      if (left <= 0) return;
      if (at > due.usefulUntil) continue;
      left -= 1;
      if (at >= tooLateAt) continue;
      const worth = estimateWorth(due, expectedMs, at);
      if (weighLater(worth) < minWeight) {
        tooLateAt = at;
        continue;
      }
      places.push({
        kind: 'later',
        worker,
        worth,
        expectedMs,
        startAt: at,
        isVacancy,
      });
    }
  }
}

function listFreePlaces(
  {step, due, maxUnansweredStarts}: Demand,
  worker: WorkerRecord,
  free: Resources,
  {expectedMs, maxPlaces}: Pick<WorkerOffer, 'expectedMs' | 'maxPlaces'>,
  now: Millis,
): Place[] {
  const count = Math.min(
    maxPlaces,
    countFitting(step.need, free),
    MAX_RUNS_PER_WORKER - worker.runs.size,
  );
  const startable = worker.startWindow.countRoom(maxUnansweredStarts);
  const worth = count > 0 ? estimateWorth(due, expectedMs, now) : 0;
  const places: Place[] = [];
  for (let taken = 1; taken <= Math.min(count, startable); taken += 1) {
    const remaining = subtract(free, step.need, taken);
    places.push({kind: 'free', worker, worth, expectedMs, remaining});
  }
  for (let taken = startable + 1; taken <= count; taken += 1) {
    const rounds = Math.ceil((taken - startable) / maxUnansweredStarts);
    const startAt = now + rounds * START_ROUND_MS;
    const laterWorth = estimateWorth(due, expectedMs, startAt);
    places.push({kind: 'deferred', worth: laterWorth, expectedMs});
  }
  return places;
}
