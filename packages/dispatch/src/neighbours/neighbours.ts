/**
 * Room that the holders of other zones have told of. Answers jobs that are too
 * wide for the free workers of one zone, and load that differs between zones:
 * single tasks are lent to a zone that can start them at once. What is told is
 * a moment old, so the other holder may turn a task away; it never queues one.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {expectWorth, type Due} from '../placement/index.js';
import type {Durations} from '../speeds/index.js';
import type {Step} from '../work/index.js';

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

/** A place for one task in another zone. */
export interface RemotePlace {
  readonly zone: string;
  readonly worth: number;
  readonly expectedMs: Millis;
  /** Takes the room, so that the next task does not count on it. */
  readonly take: () => void;
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

  /** The best place for a task elsewhere; undefined when there is none. */
  find(
    service: string,
    queue: string,
    step: Step,
    due: Due,
    durations: Durations,
    now: Millis,
  ): RemotePlace | undefined {
    if (!canLend(step)) return undefined;
    let best: RemotePlace | undefined;
    for (const record of this.rooms.values()) {
      const isFresh = now - record.toldAt < FRESH_MS;
      if (record.room.service !== service || !isFresh) continue;
      for (const vacancy of record.vacancies) {
        if (!hasRoom(vacancy, step)) continue;
        const usualMs = durations.expect(queue, step.estimateMs);
        const expectedMs = usualMs * vacancy.slowness + TRAVEL_MS;
        const worth = expectWorth(due, expectedMs, now);
        if (best !== undefined && worth <= best.worth) continue;
        const take = () => takeRoom(record, vacancy, step);
        best = {zone: record.room.zone, worth, expectedMs, take};
      }
    }
    return best;
  }
}

/** Steps that depend on where exactly they run stay in their zone. */
function canLend(step: Step): boolean {
  const isBound = step.requiredLabel ?? step.dataRack ?? step.maxPerWorker;
  return isBound === undefined && step.need.accelerators === 0;
}

function hasRoom({cpuMillis, memoryMb}: Vacancy, {need}: Step): boolean {
  return need.cpuMillis <= cpuMillis && need.memoryMb <= memoryMb;
}

function takeRoom(record: RoomRecord, vacancy: Vacancy, {need}: Step): void {
  const index = record.vacancies.indexOf(vacancy);
  if (index < 0) return;
  record.vacancies[index] = {
    slowness: vacancy.slowness,
    cpuMillis: vacancy.cpuMillis - need.cpuMillis,
    memoryMb: vacancy.memoryMb - need.memoryMb,
  };
}
