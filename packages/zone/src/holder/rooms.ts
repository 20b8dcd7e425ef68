/** Tells other zones which room the workers of a dispatcher have. */
import type {Dispatcher, Vacancy, ZoneVacancies} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {ZoneHeartbeat} from '../protocol/index.js';

/** One service's room in a heartbeat. */
type ToldRoom = NonNullable<ZoneHeartbeat['rooms']>[number];
type ToldRow = ToldRoom['vacancies'][number];

/** Slowness is told in steps of this size. */
const SLOWNESS_STEP = 0.01;

/** Free room of all services, in the form of a heartbeat. */
export function formatRooms(dispatcher: Dispatcher, now: Millis): ToldRoom[] {
  const services = new Set<string>();
  for (const {info} of dispatcher.workers.values()) services.add(info.service);
  return [...services].map(service => ({
    service,
    vacancies: groupVacancies(dispatcher.findVacancies(service, now)),
  }));
}

/** One row for all workers that have the same room. */
function groupVacancies(vacancies: readonly Vacancy[]): ToldRow[] {
  const rows = new Map<string, ToldRow>();
  for (const {slowness, cpuMillis, memoryMb} of vacancies) {
    const steps = Math.round(slowness / SLOWNESS_STEP);
    const key = `${steps} ${cpuMillis} ${memoryMb}`;
    const count = (rows.get(key)?.[3] ?? 0) + 1;
    rows.set(key, [steps * SLOWNESS_STEP, cpuMillis, memoryMb, count]);
  }
  return [...rows.values()];
}

/** Tells of the same services that there is no room. */
export function withoutVacancies(
  rooms: readonly ToldRoom[],
): ZoneHeartbeat['rooms'] {
  return rooms.map(({service}) => ({service, vacancies: []}));
}

/** The room that another zone's heartbeat told of. */
export function toRoom(
  zone: string,
  {service, vacancies}: ToldRoom,
): ZoneVacancies {
  return {
    zone,
    service,
    vacancies: vacancies.flatMap(([slowness, cpuMillis, memoryMb, count]) =>
      Array.from({length: count}, () => ({slowness, cpuMillis, memoryMb})),
    ),
  };
}

/** Free processors of the workers in use, in thousandths. */
export function sumFreeMillis(dispatcher: Dispatcher, now: Millis): number {
  let free = 0;
  for (const worker of dispatcher.workers.values()) {
    if (worker.isUsable(now)) free += worker.freeResources().cpuMillis;
  }
  return free;
}
