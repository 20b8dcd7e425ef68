/** State that is shared by all placements of one round. */
import type {Millis} from '@goldcrestpier/runtime';
import {CapacityForecast, WaitingSizes} from '../../placement/index.js';
import type {Resources} from '../../work/index.js';
import type {WorkerRecord} from '../../workers/index.js';
import type {Registry} from '../registry.js';
import type {JobRecord} from '../jobs/index.js';
import {areManyWaiting} from './min_worth.js';

/** The usable workers, their upcoming vacancies, and the load of a round. */
export class PlacementRound {
  readonly hasManyWaiting: boolean;
  private readonly byService = new Map<string, readonly WorkerRecord[]>();
  private readonly forecasts = new Map<string, CapacityForecast>();

  constructor(
    private readonly registry: Registry,
    private readonly waiting: readonly JobRecord[],
    readonly now: Millis,
    private readonly remoteFactor: number,
  ) {
    this.hasManyWaiting = areManyWaiting(waiting);
  }

  /** Returns the forecast of the capacity of a service's workers. */
  findForecast(service: string): CapacityForecast {
    const known = this.forecasts.get(service);
    if (known !== undefined) return known;
    const needs: Resources[] = [];
    for (const {job, steps} of this.waiting) {
      if (job.service !== service) continue;
      for (const {step, waiting} of steps)
        if (waiting.size > 0) needs.push(step.need);
    }
    const capacities = this.usableWorkers(service).map(
      ({info}) => info.capacity,
    );
    const sizes = new WaitingSizes(needs, capacities);
    const forecast = new CapacityForecast(this.now, sizes, this.remoteFactor);
    this.forecasts.set(service, forecast);
    return forecast;
  }

  /** Keeps a worker free of further tasks. */
  exclude(worker: WorkerRecord): void {
    const {service} = worker.info;
    const others = this.usableWorkers(service).filter(
      other => other !== worker,
    );
    this.byService.set(service, others);
  }

  /** How many tasks may be started until `limit` starts are unanswered each. */
  countStartRoom(service: string, limit: number): number {
    let room = 0;
    for (const {startWindow} of this.usableWorkers(service))
      room += startWindow.countRoom(limit);
    return room;
  }

  /** Returns the workers of a service that can be given tasks now. */
  usableWorkers(service: string): readonly WorkerRecord[] {
    if (this.registry.evacuation.isActive) return [];
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const workers = [...this.registry.iterateWorkers(service)].filter(worker =>
      worker.isUsable(this.now),
    );
    this.byService.set(service, workers);
    return workers;
  }
}
