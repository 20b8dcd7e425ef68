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
import {listPlaces, type Demand, type Forecast} from './list_places.js';
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
  const places: Place[] = [];
  for (const worker of workers) {
    places.push(...listPlaces(demand, worker, forecast, now));
  }
  if (!isStartable(places, demand.count)) places.push(...listRemotes());
  const last = findRanked(places, demand.count);
  if (last === undefined) {
    places.sort((a, b) => weighPlace(b) - weighPlace(a));
    return {places, worth: 0};
  }
  const minWeight = weighPlace(last) * EQUIVALENT_SHARE;
  const equivalent = places.filter(place => weighPlace(place) >= minWeight);
  return {
    places: sortPlaces(equivalent).slice(0, demand.count),
    worth: last.worth,
  };
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
  const weights = Float64Array.from(places, weighPlace).sort();
  const weight = weights[places.length - rank] ?? 0;
  const better = places.length - 1 - weights.lastIndexOf(weight);
  const equal = places.filter(place => weighPlace(place) === weight);
  return equal[rank - 1 - better];
}
