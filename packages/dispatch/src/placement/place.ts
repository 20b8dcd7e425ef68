/** Places where a task may run, and the order in which they are used. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';
import type {WaitingSizes} from './waiting_sizes.js';

/** Capacity on a worker of this zone that is free now. */
export interface FreePlace {
  readonly kind: 'free';
  readonly worker: WorkerRecord;
  /** Expected worth of the task there, 0 to 1. */
  readonly worth: number;
  readonly expectedMs: Millis;
  /** What remains free beside the task. */
  readonly remaining: Resources;
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
  /** When it is expected to be free. */
  readonly startAt: Millis;
  /** Whether it is to be reserved, as no task that waits is planned there. */
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
  /** What no waiting task can use beside it; 0 unless sizes are uneven. */
  readonly waste: number;
  readonly speedBucket: number;
  readonly remaining: number;
  readonly weight: number;
}

/**
 * Sorts places; those that other tasks need least come first. With uneven sizes
 * the fit on the worker goes before its speed.
 */
export function sortPlaces(
  places: readonly Place[],
  sizes: WaitingSizes,
): Place[] {
  const ranked = places.map(place => ({
    place,
    kindRank: rankKind(place),
    waste: getWaste(place, sizes),
    speedBucket: toSpeedBucket(place),
    remaining: getRemaining(place),
    weight: weighPlace(place),
  }));
  return ranked.sort(compareRanked).map(({place}) => place);
}

function compareRanked(a: RankedPlace, b: RankedPlace): number {
  if (a.kindRank !== b.kindRank) return a.kindRank - b.kindRank;
  if (a.waste !== b.waste) return a.waste - b.waste;
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

function getWaste(place: Place, sizes: WaitingSizes): number {
  if (!sizes.isUneven || place.kind !== 'free') return 0;
  return sizes.measureWaste(place.remaining);
}

function getRemaining(place: Place): number {
  return place.kind === 'free' ? place.remaining.cpuMillis : 0;
}
