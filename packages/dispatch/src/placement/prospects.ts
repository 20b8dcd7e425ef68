/**
 * When busy workers will have room again. Tasks that wait for the same worker
 * are given its coming vacancies one after the other.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';

/** A run that is overdue is expected to end after this time, in ms. */
const OVERDUE_MS = 30;

/** Vacancies that are expected, and how many are spoken for. */
export class Prospects {
  private readonly taken = new Map<string, number>();

  constructor(private readonly now: Millis) {}

  /** When the next vacancy that is not spoken for comes up. */
  nextVacancy(worker: WorkerRecord): Millis {
    const ends: Millis[] = [];
    for (const {startedAt, expectedMs} of worker.runs.values()) {
      ends.push(Math.max(startedAt + expectedMs, this.now + OVERDUE_MS));
    }
    ends.sort((a, b) => a - b);
    const index = this.taken.get(worker.info.id) ?? 0;
    return ends[index] ?? Infinity;
  }

  /** Speaks for the worker's next vacancy. */
  take(worker: WorkerRecord): void {
    const {id} = worker.info;
    this.taken.set(id, (this.taken.get(id) ?? 0) + 1);
  }
}
