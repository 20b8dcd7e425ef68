/**
 * Room that the holders of other zones have told of. Answers jobs that are too
 * wide for the free workers of one zone, and load that differs between zones:
 * single tasks are lent to a zone that can start them at once. What is told is
 * a moment old, so the other holder may turn a task away; it never queues one.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {
  countFitting,
  expectWorth,
  type Demand,
  type RemotePlace,
} from '../placement/index.js';
import type {Durations} from '../speeds/index.js';
import type {Need, Step} from '../work/index.js';

/** What was told counts for this long, in ms. */
const FRESH_MS = 500;
/** Time for the way to the other zone and back, in ms. */
const TRAVEL_MS = 4;

/** Free room on one worker of another zone. */
export interface Vacancy {
  /** How many times as long as usual tasks take there. */
  readonly slowness: number;
  readonly cpuMillis: number;
  readonly memoryMb: number;
}

/** Free room of one service in another zone. */
export interface ZoneRoom {
  readonly zone: string;
  readonly service: string;
  readonly vacancies: readonly Vacancy[];
}

interface RoomRecord {
  readonly room: ZoneRoom;
  readonly toldAt: Millis;
  /** Room that is left after what was lent since. */
  vacancies: Vacancy[];
}

/** Keeps the newest room of each zone. */
export class Neighbours {
  private readonly rooms = new Map<string, RoomRecord>();

  /** Takes what a holder tells of its free workers. */
  tell(room: ZoneRoom, now: Millis): void {
    const vacancies = [...room.vacancies];
    const key = `${room.zone} ${room.service}`;
    this.rooms.set(key, {room, toldAt: now, vacancies});
  }

  /** Counts on no room in the zone until it tells of some again. */
  noteRefusal(zone: string): void {
    for (const record of this.rooms.values()) {
      if (record.room.zone === zone) record.vacancies = [];
    }
  }

  /** Places elsewhere for the tasks that wait. */
  list(
    service: string,
    demand: Demand,
    durations: Durations,
    now: Millis,
  ): RemotePlace[] {
    if (!canLend(demand.step)) return [];
    const places: RemotePlace[] = [];
    for (const record of this.rooms.values()) {
      const isFresh = now - record.toldAt < FRESH_MS;
      if (record.room.service !== service || !isFresh) continue;
      for (const index of record.vacancies.keys()) {
        places.push(...listPlacesOf(record, index, demand, durations, now));
      }
    }
    return places;
  }
}

/** Places on one worker of another zone. */
function listPlacesOf(
  record: RoomRecord,
  index: number,
  {queue, step, due, count}: Demand,
  durations: Durations,
  now: Millis,
): RemotePlace[] {
  const vacancy = record.vacancies[index];
  if (vacancy === undefined) return [];
  const fitting = Math.min(count, countFitting(step.need, toNeed(vacancy)));
  if (fitting === 0) return [];
  const usualMs = durations.expect(queue, step.estimateMs);
  const expectedMs = usualMs * vacancy.slowness + TRAVEL_MS;
  const worth = expectWorth(due, expectedMs, now);
  const {zone} = record.room;
  const take = () => takeRoom(record, index, step);
  const place: RemotePlace = {kind: 'remote', zone, worth, expectedMs, take};
  return Array.from({length: fitting}, () => place);
}

function toNeed({cpuMillis, memoryMb}: Vacancy): Need {
  return {cpuMillis, memoryMb, accelerators: 0};
}

/** Steps that depend on where exactly they run stay in their zone. */
function canLend(step: Step): boolean {
  const isBound = step.requiredLabel ?? step.dataRack ?? step.maxPerWorker;
  return isBound === undefined && step.need.accelerators === 0;
}

function takeRoom(record: RoomRecord, index: number, {need}: Step): void {
  const vacancy = record.vacancies[index];
  if (vacancy === undefined) return;
  record.vacancies[index] = {
    slowness: vacancy.slowness,
    cpuMillis: vacancy.cpuMillis - need.cpuMillis,
    memoryMb: vacancy.memoryMb - need.memoryMb,
  };
}
