/** Lists the places that one worker has for tasks of a step, now and later. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Durations} from '../speeds/index.js';
import type {Step} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';
import {expectWorth, type Due} from './chance.js';
import {canEverRun, countFitting} from './fit.js';
import type {Place} from './place.js';
import type {Prospects} from './prospects.js';

/** How many times as long a task takes away from its data. */
const FAR_FACTOR = 2;
/** Tasks of a step that may be planned one after the other in one place. */
const MOST_WAVES = 4;

/** Tasks of one step that wait together. */
export interface Demand {
  readonly queue: string;
  readonly step: Step;
  readonly due: Due;
  /** How many tasks wait. */
  readonly count: number;
  /** Tasks of the step on a worker, where the step limits them. */
  readonly countOn: (workerId: string) => number;
}

/** What is known of the times of runs. */
export interface Forecast {
  readonly durations: Durations;
  readonly prospects: Prospects;
}

/** The worker's places for the demand, the soonest first. */
export function listPlaces(
  demand: Demand,
  worker: WorkerRecord,
  {durations, prospects}: Forecast,
  now: Millis,
): Place[] {
  const {queue, step, due, count, countOn} = demand;
  if (!canEverRun(step, worker)) return [];
  const {id, labels} = worker.info;
  const isFar = step.dataRack !== undefined && !labels.includes(step.dataRack);
  const nearMs = durations.expectOn(id, queue, step.estimateMs);
  const expectedMs = nearMs * (isFar ? FAR_FACTOR : 1);
  const most = Math.min(count, (step.maxPerWorker ?? Infinity) - countOn(id));
  const places = listFree(demand, worker, expectedMs, most, now);
  const starts = places.map(() => now);
  const addLater = (at: Millis, isVacancy: boolean) => {
    if (places.length >= most || at > due.usefulUntil) return;
    const worth = expectWorth(due, expectedMs, at);
    places.push({kind: 'later', worker, worth, expectedMs, isVacancy});
  };
  for (const vacantAt of prospects.vacanciesOf(worker)) {
    addLater(vacantAt, true);
    starts.push(vacantAt);
  }
  for (let wave = 1; wave < MOST_WAVES; wave += 1) {
    for (const start of starts) addLater(start + wave * expectedMs, false);
  }
  return places;
}

function listFree(
  {step, due}: Demand,
  worker: WorkerRecord,
  expectedMs: Millis,
  most: number,
  now: Millis,
): Place[] {
  const free = worker.free();
  const count = Math.min(most, countFitting(step.need, free));
  const worth = count > 0 ? expectWorth(due, expectedMs, now) : 0;
  const places: Place[] = [];
  for (let taken = 1; taken <= count; taken += 1) {
    const leftMillis = free.cpuMillis - taken * step.need.cpuMillis;
    places.push({kind: 'free', worker, worth, expectedMs, leftMillis});
  }
  return places;
}
