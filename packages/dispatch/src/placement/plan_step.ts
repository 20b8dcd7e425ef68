/**
 * Plans the waiting tasks of a step together. Answers the load of wide jobs
 * over workers of uneven speed: a job is served by the last of its tasks, so
 * the plan makes this last one as good as it can be, and then takes for each
 * task the place that others need least among those that are no worse. Fast
 * workers stay free for tasks that need them, and large gaps for wide jobs.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';
import {listPlaces, type Demand, type Forecast} from './list_places.js';
import {sortPlaces, weighPlace, type Place, type RemotePlace} from './place.js';

/** Places count as no worse that bring this share of the last one's worth. */
const GOOD_SHARE = 0.95;

/** Where the tasks of a step should run. */
export interface StepPlan {
  /** One for each task; fewer when there are not enough. */
  readonly places: readonly Place[];
  /** Worth to expect of the last task; 0 when one has no place. */
  readonly worth: number;
}

/** Plans as many tasks as the demand has. */
export function planStep(
  demand: Demand,
  workers: readonly WorkerRecord[],
  remotes: readonly RemotePlace[],
  forecast: Forecast,
  now: Millis,
): StepPlan {
  const places: Place[] = [...remotes];
  for (const worker of workers) {
    places.push(...listPlaces(demand, worker, forecast, now));
  }
  const last = findRanked(places, demand.count);
  if (last === undefined) {
    places.sort((a, b) => weighPlace(b) - weighPlace(a));
    return {places, worth: 0};
  }
  const least = weighPlace(last) * GOOD_SHARE;
  const good = places.filter(place => weighPlace(place) >= least);
  return {places: sortPlaces(good).slice(0, demand.count), worth: last.worth};
}

/**
 * The place that comes at this rank, from 1 on, when the best are in front and
 * equal ones stay in their order. Only numbers are sorted, as there are many
 * places and few tasks.
 */
function findRanked(places: readonly Place[], rank: number): Place | undefined {
  if (places.length < rank) return undefined;
  const weights = Float64Array.from(places, weighPlace).sort();
  const weight = weights[places.length - rank] ?? 0;
  const better = places.length - 1 - weights.lastIndexOf(weight);
  const equal = places.filter(place => weighPlace(place) === weight);
  return equal[rank - 1 - better];
}
