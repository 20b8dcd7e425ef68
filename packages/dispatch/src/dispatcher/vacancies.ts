/** Free room that other zones are told of. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Vacancy} from '../neighbours/index.js';
import type {Board} from './board.js';

/** Free room on each usable worker of a service. */
export function listVacancies(
  board: Board,
  service: string,
  now: Millis,
): Vacancy[] {
  const vacancies: Vacancy[] = [];
  for (const worker of board.workersOf(service)) {
    const {cpuMillis, memoryMb} = worker.free();
    if (!worker.isUsable(now) || cpuMillis <= 0) continue;
    const slowness = board.durations.slownessOf(worker.info.id);
    vacancies.push({slowness, cpuMillis, memoryMb});
  }
  return vacancies;
}
