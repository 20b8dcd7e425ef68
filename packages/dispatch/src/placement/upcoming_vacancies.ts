/**
 * Predicts when busy workers will have free capacity again. Tasks that wait for
 * the same worker reserve its upcoming vacancies one after another.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';

/** Time after which an overdue run is expected to end, in ms. */
const OVERDUE_DELAY_MS = 30;

/** Expected vacancies of each worker that are not reserved yet. */
export class UpcomingVacancies {
  private readonly ends = new Map<WorkerRecord, Millis[]>();

  constructor(private readonly now: Millis) {}

  /** Returns the times of the unreserved vacancies, the next one first. */
  vacanciesOf(worker: WorkerRecord): readonly Millis[] {
    return this.endsOn(worker);
  }

  /** Reserves the worker's next vacancy. */
  reserve(worker: WorkerRecord): void {
    this.endsOn(worker).shift();
  }

  private endsOn(worker: WorkerRecord): Millis[] {
    const known = this.ends.get(worker);
    if (known !== undefined) return known;
    const ends: Millis[] = [];
    for (const {expectedEndAt} of worker.runs.values()) {
      ends.push(Math.max(expectedEndAt, this.now + OVERDUE_DELAY_MS));
    }
    ends.sort((a, b) => a - b);
    this.ends.set(worker, ends);
    return ends;
  }
}
