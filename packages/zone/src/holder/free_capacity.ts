/** Formats and parses the free capacity that zones report to each other. */
import type {Dispatcher, Vacancy, ZoneVacancies} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {ZoneHeartbeat} from '../protocol/index.js';

/** The free capacity of one service in a heartbeat. */
type CapacityEntry = NonNullable<ZoneHeartbeat['rooms']>[number];
type CapacityRow = CapacityEntry['vacancies'][number];
type UpcomingRow = NonNullable<CapacityEntry['upcoming']>[number];

/** Slowness is rounded to multiples of this, so that rows can be grouped. */
const SLOWNESS_STEP = 0.01;

/** Formats the free capacity of all services for a heartbeat. */
export function formatFreeCapacity(
  dispatcher: Dispatcher,
  now: Millis,
): CapacityEntry[] {
  const services = new Set<string>();
  for (const {info} of dispatcher.workers.values()) services.add(info.service);
  return [...services].map(service => {
    const vacancies = dispatcher.findVacancies(service, now);
    const free = vacancies.filter(({freeInMs}) => freeInMs === 0);
    const upcoming = vacancies.filter(({freeInMs}) => freeInMs > 0);
    return {
      service,
      vacancies: groupVacancies(free),
      upcoming: upcoming.map(formatUpcoming),
    };
  });
}

function formatUpcoming(vacancy: Vacancy): UpcomingRow {
  const {slowness, cpuMillis, memoryMb, freeInMs} = vacancy;
  return [roundSlowness(slowness), cpuMillis, memoryMb, Math.ceil(freeInMs)];
}

function roundSlowness(slowness: number): number {
  return Math.round(slowness / SLOWNESS_STEP) * SLOWNESS_STEP;
}

/** Groups workers with the same free capacity into one row. */
function groupVacancies(vacancies: readonly Vacancy[]): CapacityRow[] {
  const rows = new Map<string, CapacityRow>();
  for (const {slowness, cpuMillis, memoryMb} of vacancies) {
    const rounded = roundSlowness(slowness);
    const key = `${rounded} ${cpuMillis} ${memoryMb}`;
    const count = (rows.get(key)?.[3] ?? 0) + 1;
    rows.set(key, [rounded, cpuMillis, memoryMb, count]);
  }
  return [...rows.values()];
}

/** Returns the same services with no free capacity. */
export function clearVacancies(
  capacities: readonly CapacityEntry[],
): ZoneHeartbeat['rooms'] {
  return capacities.map(({service}) => {
    return {service, vacancies: [], upcoming: []};
  });
}

/** Converts the free capacity in another zone's heartbeat. */
export function toZoneCapacity(
  zone: string,
  {service, vacancies, upcoming = []}: CapacityEntry,
): ZoneVacancies {
  const free = vacancies.flatMap(([slowness, cpuMillis, memoryMb, count]) => {
    const vacancy = {slowness, cpuMillis, memoryMb, freeInMs: 0};
    return Array.from({length: count}, () => vacancy);
  });
  const later = upcoming.map(([slowness, cpuMillis, memoryMb, freeInMs]) => {
    return {slowness, cpuMillis, memoryMb, freeInMs};
  });
  return {zone, service, vacancies: [...free, ...later]};
}

/** Sums the free CPU of all usable workers, in thousandths of a processor. */
export function sumFreeMillis(dispatcher: Dispatcher, now: Millis): number {
  let free = 0;
  for (const worker of dispatcher.workers.values()) {
    if (worker.isUsable(now)) free += worker.computeFreeResources().cpuMillis;
  }
  return free;
}
