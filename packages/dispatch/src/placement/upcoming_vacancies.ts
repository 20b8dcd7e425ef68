/**
 * Predicts when busy workers will have free capacity again. Tasks that wait for
 * the same worker reserve its upcoming vacancies one after another.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';

/** Time from now in which an overdue run is expected to end, in ms. */
const OVERDUE_DELAY_MS = 30;

/** Capacity that a run frees when it ends. */
export interface UpcomingVacancy {
  readonly at: Millis;
  readonly freed: Resources;
}

/** Expected vacancies of each worker that are not reserved yet. */
export class UpcomingVacancies {
  private readonly byWorker = new Map<WorkerRecord, UpcomingVacancy[]>();

  constructor(private readonly now: Millis) {}

  /** Returns the unreserved vacancies of a worker, the next one first. */
  list(worker: WorkerRecord): readonly UpcomingVacancy[] {
    return this.getVacancies(worker);
  }

  /** Reserves the worker's next vacancy. */
  reserve(worker: WorkerRecord): void {
    this.getVacancies(worker).shift();
  }

  private getVacancies(worker: WorkerRecord): UpcomingVacancy[] {
    const known = this.byWorker.get(worker);
    if (known !== undefined) return known;
    const vacancies: UpcomingVacancy[] = [];
    for (const {expectedEndAt, need} of worker.runs.values()) {
      const at = Math.max(expectedEndAt, this.now + OVERDUE_DELAY_MS);
      vacancies.push({at, freed: need});
    }
    vacancies.sort((a, b) => a.at - b.at);
    this.byWorker.set(worker, vacancies);
    return vacancies;
  }
}
