/** Free capacity that is reported to other zones. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Vacancy} from '../../remote_vacancies/index.js';
import type {Registry} from '../registry.js';

/** Lists the free capacity on each usable worker of a service. */
export function listVacancies(
  registry: Registry,
  service: string,
  now: Millis,
): Vacancy[] {
  const vacancies: Vacancy[] = [];
  if (registry.evacuation.isActive) return vacancies;
  for (const worker of registry.iterateWorkers(service)) {
    const {cpuMillis, memoryMb} = worker.computeFreeResources();
    if (!worker.isUsable(now) || cpuMillis <= 0) continue;
    const slowness = registry.runTimes.getSlowness(worker.info.id);
    vacancies.push({slowness, cpuMillis, memoryMb});
  }
  return vacancies;
}
