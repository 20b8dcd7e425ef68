/** What stays the same while one round of tasks is placed. */
import type {Millis} from '@goldcrestpier/runtime';
import {Prospects} from '../placement/index.js';
import type {WorkerRecord} from '../workers/index.js';
import type {Board} from './board.js';
import type {JobRecord} from './job_record.js';
import {areManyWaiting} from './least_worth.js';

/** The usable workers, the vacancies to come, and whether many jobs wait. */
export class Scene {
  readonly prospects: Prospects;
  readonly isCrowded: boolean;
  private readonly byService = new Map<string, readonly WorkerRecord[]>();

  constructor(
    private readonly board: Board,
    waiting: readonly JobRecord[],
    private readonly now: Millis,
  ) {
    this.isCrowded = areManyWaiting(waiting);
    this.prospects = new Prospects(now);
  }

  /** Workers of a service that may be given tasks. */
  usable(service: string): readonly WorkerRecord[] {
    const known = this.byService.get(service);
    if (known !== undefined) return known;
    const usable = [...this.board.workersOf(service)].filter(worker =>
      worker.isUsable(this.now),
    );
    this.byService.set(service, usable);
    return usable;
  }
}
