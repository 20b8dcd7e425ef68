/** Capacity that is reported to other zones: free now, or expected to be. */
import type {Millis} from '@goldcrestpier/runtime';
import type {UpcomingVacancies} from '../placement/index.js';
import type {Vacancy} from '../remote_vacancies/index.js';
import type {WorkerRecord} from '../workers/index.js';
import type {Registry} from './registry.js';

/** Upcoming vacancies are reported up to this time ahead, in ms. */
const MAX_REPORTED_WAIT_MS = 80;

/**
 * Lists the capacity of each usable worker of a service. `upcoming` are the
 * vacancies that no waiting task of this zone is planned for.
 */
export function listVacancies(
  registry: Registry,
  service: string,
  upcoming: UpcomingVacancies | undefined,
  now: Millis,
): Vacancy[] {
  const vacancies: Vacancy[] = [];
  for (const worker of registry.iterateWorkers(service)) {
    if (!worker.isUsable(now)) continue;
    const slowness = registry.runTimes.getSlowness(worker.info.id);
    const {cpuMillis, memoryMb} = worker.computeFreeResources();
    if (cpuMillis > 0)
      vacancies.push({slowness, cpuMillis, memoryMb, freeInMs: 0});
    if (upcoming !== undefined)
      vacancies.push(...listUpcoming(worker, slowness, upcoming, now));
  }
  return vacancies;
}

/** Lists what the worker's runs free; the first one adds to what is free. */
function listUpcoming(
  worker: WorkerRecord,
  slowness: number,
  upcoming: UpcomingVacancies,
  now: Millis,
): Vacancy[] {
  const vacancies: Vacancy[] = [];
  let {cpuMillis, memoryMb} = worker.computeFreeResources();
  for (const {at, freed} of upcoming.list(worker)) {
    const freeInMs = Math.max(at - now, 1);
    if (freeInMs > MAX_REPORTED_WAIT_MS) break;
    cpuMillis += freed.cpuMillis;
    memoryMb += freed.memoryMb;
    vacancies.push({slowness, cpuMillis, memoryMb, freeInMs});
    cpuMillis = 0;
    memoryMb = 0;
  }
  return vacancies;
}
