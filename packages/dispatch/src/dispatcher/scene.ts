/** What stays the same while one round of tasks is placed. */
import type {Millis} from '@goldcrestpier/runtime';
import {Prospects} from '../placement/index.js';
import type {WorkerRecord} from '../workers/index.js';
import type {Board} from './board.js';

/** The usable workers and the vacancies to come. */
export class Scene {
  readonly prospects: Prospects;
  private readonly byService = new Map<string, readonly WorkerRecord[]>();

  constructor(
    private readonly board: Board,
    private readonly now: Millis,
  ) {
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
