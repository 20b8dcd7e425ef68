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
  private readonly ends = new Map<WorkerRecord, Millis[]>();

  constructor(private readonly now: Millis) {}

  /** When the vacancies come up that are not spoken for, the next one first. */
  vacanciesOf(worker: WorkerRecord): readonly Millis[] {
    return this.endsOn(worker);
  }

  /** Speaks for the worker's next vacancy. */
  take(worker: WorkerRecord): void {
    this.endsOn(worker).shift();
  }

  private endsOn(worker: WorkerRecord): Millis[] {
    const known = this.ends.get(worker);
    if (known !== undefined) return known;
    const ends: Millis[] = [];
    for (const {endsAt} of worker.runs.values()) {
      ends.push(Math.max(endsAt, this.now + OVERDUE_MS));
    }
    ends.sort((a, b) => a - b);
    this.ends.set(worker, ends);
    return ends;
  }
}
