/** State that is shared by all placements of one round. */
import type {Millis} from '@goldcrestpier/runtime';
import {UpcomingVacancies} from '../placement/index.js';
import type {WorkerRecord} from '../workers/index.js';
import type {Registry} from './registry.js';
import type {JobRecord} from './job_record.js';
import {areManyWaiting} from './min_worth.js';

/** The usable workers, their upcoming vacancies, and the load of a round. */
export class PlacementRound {
  readonly upcoming: UpcomingVacancies;
  private readonly manyWaiting = new Map<string, boolean>();
  private readonly byService = new Map<string, readonly WorkerRecord[]>();

  constructor(
    private readonly registry: Registry,
    private readonly waiting: readonly JobRecord[],
    private readonly now: Millis,
  ) {
    this.upcoming = new UpcomingVacancies(now);
  }

  /** Whether many jobs of the service wait to start. */
  hasManyWaiting(service: string): boolean {
    const known = this.manyWaiting.get(service);
    if (known !== undefined) return known;
    const jobs = this.waiting.filter(({job}) => job.service === service);
    const hasMany = areManyWaiting(jobs, this.usableWorkers(service).length);
    this.manyWaiting.set(service, hasMany);
    return hasMany;
  }

  /** Returns the workers of a service that can be given tasks now. */
  usableWorkers(service: string): readonly WorkerRecord[] {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const workers = [...this.registry.iterateWorkers(service)].filter(worker =>
      worker.isUsable(this.now),
    );
    this.byService.set(service, workers);
    return workers;
  }
}
