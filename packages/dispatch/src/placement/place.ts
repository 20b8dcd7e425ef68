/** Places where a task may run, and the order in which they are used. */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';

/** Capacity on a worker of this zone that is free now. */
export interface FreePlace {
  readonly kind: 'free';
  readonly worker: WorkerRecord;
  /** Expected worth of the task there, 0 to 1. */
  readonly worth: number;
  readonly expectedMs: Millis;
  /** Processors that remain free beside the task, in thousandths. */
  readonly remainingMillis: number;
}

/**
 * Capacity on a worker of this zone that is free now, but can only be used when
 * the worker has answered earlier start commands.
 */
export interface DeferredPlace {
  readonly kind: 'deferred';
  readonly worth: number;
  readonly expectedMs: Millis;
}

/** Capacity on a worker of this zone that will be free later. */
export interface LaterPlace {
  readonly kind: 'later';
  readonly worker: WorkerRecord;
  readonly worth: number;
  readonly expectedMs: Millis;
  /** Whether a current run frees it, rather than a task planned before. */
  readonly isVacancy: boolean;
}

/** Capacity that another zone reported as free. */
export interface RemotePlace {
  readonly kind: 'remote';
  readonly zone: string;
  readonly worth: number;
  readonly expectedMs: Millis;
  /** Reserves the capacity, so that it is not planned for another task. */
  readonly reserve: () => void;
}

/** Where a task may run. */
export type Place = FreePlace | DeferredPlace | LaterPlace | RemotePlace;

/** Discounts relative to free places, as other tasks may take them first. */
const REMOTE_DISCOUNT = 0.97;
const LATER_DISCOUNT = 0.9;

/** Buckets per factor of e; run times in one bucket count as equal. */
const SPEED_BUCKETS = 7;

/** Worth of a place, discounted by the risk that another task takes it. */
export function weighPlace({kind, worth}: Place): number {
  switch (kind) {
    case 'free':
    case 'deferred':
      return worth;
    case 'remote':
      return worth * REMOTE_DISCOUNT;
    case 'later':
      return weighLater(worth);
  }
}

/** Weight of a place of this worth that will be free later. */
export function weighLater(worth: number): number {
  return worth * LATER_DISCOUNT;
}

/** A place with its sort keys. */
interface RankedPlace {
  readonly place: Place;
  readonly kindRank: number;
  readonly speedBucket: number;
  readonly remaining: number;
  readonly weight: number;
}

/** Sorts places; those that other tasks need least come first. */
export function sortPlaces(places: readonly Place[]): Place[] {
  const ranked = places.map(place => ({
    place,
    kindRank: rankKind(place),
    speedBucket: toSpeedBucket(place),
    remaining: getRemaining(place),
    weight: weighPlace(place),
  }));
  return ranked.sort(compareRanked).map(({place}) => place);
}

function compareRanked(a: RankedPlace, b: RankedPlace): number {
  if (a.kindRank !== b.kindRank) return a.kindRank - b.kindRank;
  if (a.speedBucket !== b.speedBucket) return b.speedBucket - a.speedBucket;
  if (a.remaining !== b.remaining) return a.remaining - b.remaining;
  return b.weight - a.weight;
}

function rankKind({kind}: Place): number {
  switch (kind) {
    case 'free':
      return 0;
    case 'deferred':
      return 1;
    case 'remote':
      return 2;
    case 'later':
      return 3;
  }
}

function toSpeedBucket({expectedMs}: Place): number {
  return Math.round(Math.log(Math.max(expectedMs, 1)) * SPEED_BUCKETS);
}

function getRemaining(place: Place): number {
  return place.kind === 'free' ? place.remainingMillis : 0;
}
