/**
 * Plans the waiting tasks of a step together, because a job may have many tasks
 * and its workers differ in speed. A job ends with the last of its tasks, so the
 * plan first maximizes the worth of this last task. Of the places that are about
 * as good, it then takes those that other tasks need least: in this zone, slow,
 * and nearly full. Fast workers stay free for tasks that need them, and workers
 * with much free capacity stay free for jobs with many tasks.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';
import {
  findOffer,
  addLaterPlaces,
  type Demand,
  type Forecast,
  type WorkerOffer,
} from './list_places.js';
import {sortPlaces, weighPlace, type Place, type RemotePlace} from './place.js';

/** Share of the last task's worth from which a place counts as good enough. */
const EQUIVALENT_SHARE = 0.95;

/** Places for the tasks of a step. */
export interface StepPlan {
  /** One for each task; fewer when there are not enough. */
  readonly places: readonly Place[];
  /** Expected worth of the last task; 0 if any task has no place. */
  readonly worth: number;
}

/** Plans all tasks of the demand; `listRemotes` lists places in other zones. */
export function planStep(
  demand: Demand,
  workers: readonly WorkerRecord[],
  listRemotes: () => readonly RemotePlace[],
  forecast: Forecast,
  now: Millis,
): StepPlan {
  const places = listPlaces(demand, workers, forecast, now);
  if (!isStartable(places, demand.count)) places.push(...listRemotes());
  const last = findRanked(places, demand.count);
  if (last === undefined) {
    places.sort((a, b) => weighPlace(b) - weighPlace(a));
    return {places, worth: 0};
  }
  const minWeight = weighPlace(last) * EQUIVALENT_SHARE;
  const equivalent = places.filter(place => weighPlace(place) >= minWeight);
  return {
    places: sortPlaces(equivalent, forecast.upcoming.sizes).slice(
      0,
      demand.count,
    ),
    worth: last.worth,
  };
}

/**
 * Lists the places on these workers without later ones that can't be chosen, as
 * enough others are better by more than what counts as equivalent.
 */
function listPlaces(
  demand: Demand,
  workers: readonly WorkerRecord[],
  forecast: Forecast,
  now: Millis,
): Place[] {
  const offers: WorkerOffer[] = [];
  for (const worker of workers) {
    const offer = findOffer(demand, worker, forecast, now);
    if (offer !== undefined) offers.push(offer);
  }
  const minWeight = findRankedWeight(offers, demand.count) * EQUIVALENT_SHARE;
  const places: Place[] = [];
  for (const offer of offers) {
    for (const place of offer.free) places.push(place);
    if (offer.maxLaterWeight >= minWeight)
      addLaterPlaces(places, demand, offer, forecast.upcoming, minWeight, now);
  }
  return places;
}

/**
 * Finds the weight at this rank, from 1, among the free places and the first
 * vacancy of each worker without any; 0 if they are fewer.
 */
function findRankedWeight(
  offers: readonly WorkerOffer[],
  rank: number,
): number {
  const weights: number[] = [];
  for (const {free, maxLaterWeight} of offers) {
    for (const place of free) weights.push(weighPlace(place));
    if (free.length === 0 && maxLaterWeight > 0) weights.push(maxLaterWeight);
  }
  if (weights.length < rank) return 0;
  return new Float64Array(weights).sort()[weights.length - rank] ?? 0;
}

/**
 * Whether this zone has the capacity for all tasks and only their start commands
 * have to wait. To delegate them would cost more than those commands.
 */
function isStartable(places: readonly Place[], count: number): boolean {
  if (!places.some(({kind}) => kind === 'deferred')) return false;
  return places.filter(({kind}) => kind !== 'later').length >= count;
}

/**
 * Returns the place at this rank, from 1, in a stable descending order by
 * weight. Only the weights are sorted, since there are many places and few
 * tasks.
 */
function findRanked(places: readonly Place[], rank: number): Place | undefined {
  if (places.length < rank) return undefined;
  const weights = new Float64Array(places.map(weighPlace)).sort();
  const weight = weights[places.length - rank] ?? 0;
  const better = places.length - 1 - weights.lastIndexOf(weight);
  const equal = places.filter(place => weighPlace(place) === weight);
  return equal[rank - 1 - better];
}
