/** Formats and parses the free capacity that zones report to each other. */
import type {Dispatcher, Vacancy, ZoneVacancies} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {ZoneHeartbeat} from '../protocol/index.js';

/** The free capacity of one service in a heartbeat. */
type CapacityEntry = NonNullable<ZoneHeartbeat['rooms']>[number];
type CapacityRow = CapacityEntry['vacancies'][number];

/** Slowness is rounded to multiples of this, so that rows can be grouped. */
const SLOWNESS_STEP = 0.01;

/** Formats the free capacity of all services for a heartbeat. */
export function formatFreeCapacity(
  dispatcher: Dispatcher,
  now: Millis,
): CapacityEntry[] {
  const services = new Set<string>();
  for (const {info} of dispatcher.workers.values()) services.add(info.service);
  return [...services].map(service => ({
    service,
    vacancies: groupVacancies(dispatcher.findVacancies(service, now)),
  }));
}

/** Groups workers with the same free capacity into one row. */
function groupVacancies(vacancies: readonly Vacancy[]): CapacityRow[] {
  const rows = new Map<string, CapacityRow>();
  for (const {slowness, cpuMillis, memoryMb} of vacancies) {
    const steps = Math.round(slowness / SLOWNESS_STEP);
    const key = `${steps} ${cpuMillis} ${memoryMb}`;
    const count = (rows.get(key)?.[3] ?? 0) + 1;
    rows.set(key, [steps * SLOWNESS_STEP, cpuMillis, memoryMb, count]);
  }
  return [...rows.values()];
}

/** Returns the same services with no free capacity. */
export function clearVacancies(
  capacities: readonly CapacityEntry[],
): ZoneHeartbeat['rooms'] {
  return capacities.map(({service}) => ({service, vacancies: []}));
}

/** Converts the free capacity in another zone's heartbeat. */
export function toZoneCapacity(
  zone: string,
  {service, vacancies}: CapacityEntry,
): ZoneVacancies {
  return {
    zone,
    service,
    vacancies: vacancies.flatMap(([slowness, cpuMillis, memoryMb, count]) =>
      Array.from({length: count}, () => ({slowness, cpuMillis, memoryMb})),
    ),
  };
}

/** Sums the free CPU of all usable workers, in thousandths of a processor. */
export function sumFreeMillis(dispatcher: Dispatcher, now: Millis): number {
  let free = 0;
  for (const worker of dispatcher.workers.values()) {
    if (worker.isUsable(now)) free += worker.computeFreeResources().cpuMillis;
  }
  return free;
}

/** Updates the free capacity of another zone, as its holder has told it. */
export function updateZoneVacancies(
  dispatcher: Dispatcher,
  {zone, rooms = []}: Pick<ZoneHeartbeat, 'zone' | 'rooms'>,
  now: Millis,
): void {
  for (const capacity of rooms)
    dispatcher.updateZoneVacancies(toZoneCapacity(zone, capacity), now);
}
