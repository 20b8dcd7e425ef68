/** Places in which a task may run. */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';

/** Room on a worker of this zone that is free now. */
export interface FreePlace {
  readonly kind: 'free';
  readonly worker: WorkerRecord;
  /** Worth, 0 to 1, to expect of the task there. */
  readonly worth: number;
  readonly expectedMs: Millis;
  /** Processors that stay free beside the task, in thousandths. */
  readonly leftMillis: number;
}

/** Room on a worker of this zone that will be free later. */
export interface LaterPlace {
  readonly kind: 'later';
  readonly worker: WorkerRecord;
  readonly worth: number;
  readonly expectedMs: Millis;
  /** Whether it is the end of a run that goes on now. */
  readonly isVacancy: boolean;
}

/** Room in another zone that was free a moment ago. */
export interface RemotePlace {
  readonly kind: 'remote';
  readonly zone: string;
  readonly worth: number;
  readonly expectedMs: Millis;
  /** Takes the room, so that the next task does not count on it. */
  readonly take: () => void;
}

/** Where a task may run. */
export type Place = FreePlace | LaterPlace | RemotePlace;

/** What places count beside free ones, as others may take them first. */
const REMOTE_SHARE = 0.97;
const LATER_SHARE = 0.9;

/** Steps on the logarithmic scale on which run times count as equal. */
const SPEED_STEPS = 7;

/** The worth of a place with the risk that it is gone. */
export function weighPlace({kind, worth}: Place): number {
  switch (kind) {
    case 'free':
      return worth;
    case 'remote':
      return worth * REMOTE_SHARE;
    case 'later':
      return worth * LATER_SHARE;
  }
}

/** A place with what its order goes by. */
interface RankedPlace {
  readonly place: Place;
  readonly kind: number;
  readonly speedStep: number;
  readonly left: number;
  readonly weight: number;
}

/** Puts first what other tasks need least: near, slow, nearly full. */
export function sortPlaces(places: readonly Place[]): Place[] {
  const ranked = places.map(place => ({
    place,
    kind: rankKind(place),
    speedStep: toSpeedStep(place),
    left: leftOf(place),
    weight: weighPlace(place),
  }));
  return ranked.sort(compareRanked).map(({place}) => place);
}

function compareRanked(a: RankedPlace, b: RankedPlace): number {
  if (a.kind !== b.kind) return a.kind - b.kind;
  if (a.speedStep !== b.speedStep) return b.speedStep - a.speedStep;
  if (a.left !== b.left) return a.left - b.left;
  return b.weight - a.weight;
}

function rankKind({kind}: Place): number {
  switch (kind) {
    case 'free':
      return 0;
    case 'remote':
      return 1;
    case 'later':
      return 2;
  }
}

function toSpeedStep({expectedMs}: Place): number {
  return Math.round(Math.log(Math.max(expectedMs, 1)) * SPEED_STEPS);
}

function leftOf(place: Place): number {
  return place.kind === 'free' ? place.leftMillis : 0;
}
