/** Tells other zones which room the workers of a dispatcher have. */
import type {Dispatcher, ZoneRoom} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {ZoneHeartbeat} from '../protocol/index.js';

/** One service's room in a heartbeat. */
type ToldRoom = NonNullable<ZoneHeartbeat['rooms']>[number];

/** Slowness is told in steps of this size. */
const SLOWNESS_STEP = 0.01;

/** Free room of all services, in the form of a heartbeat. */
export function formatRooms(dispatcher: Dispatcher, now: Millis): ToldRoom[] {
  const services = new Set<string>();
  for (const {info} of dispatcher.workers.values()) services.add(info.service);
  return [...services].map(service => ({
    service,
    vacancies: dispatcher
      .findVacancies(service, now)
      .map(({slowness, cpuMillis, memoryMb}) => [
        Math.round(slowness / SLOWNESS_STEP) * SLOWNESS_STEP,
        cpuMillis,
        memoryMb,
      ]),
  }));
}

/** Tells of the same services that there is no room. */
export function withoutVacancies(
  rooms: readonly ToldRoom[],
): ZoneHeartbeat['rooms'] {
  return rooms.map(({service}) => ({service, vacancies: []}));
}

/** The room that another zone's heartbeat told of. */
export function toRoom(zone: string, {service, vacancies}: ToldRoom): ZoneRoom {
  return {
    zone,
    service,
    vacancies: vacancies.map(([slowness, cpuMillis, memoryMb]) => ({
      slowness,
      cpuMillis,
      memoryMb,
    })),
  };
}

/** Free processors of the workers in use, in thousandths. */
export function sumFreeMillis(dispatcher: Dispatcher, now: Millis): number {
  let free = 0;
  for (const worker of dispatcher.workers.values()) {
    if (worker.isUsable(now)) free += worker.free().cpuMillis;
  }
  return free;
}
