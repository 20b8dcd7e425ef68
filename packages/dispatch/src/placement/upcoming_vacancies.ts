/**
 * Predicts when busy workers will have free capacity again. Tasks that wait for
 * the same worker reserve its upcoming vacancies one after another.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {WorkerRecord} from '../workers/index.js';

/** Time from now in which an overdue run is expected to end, in ms. */
const OVERDUE_DELAY_MS = 30;

/** Expected vacancies of each worker that are not reserved yet. */
export class UpcomingVacancies {
  private readonly timesByWorker = new Map<WorkerRecord, Millis[]>();

  constructor(private readonly now: Millis) {}

  /** Returns the times of the unreserved vacancies, the next one first. */
  listTimes(worker: WorkerRecord): readonly Millis[] {
    return this.getTimes(worker);
  }

  /** Reserves the worker's next vacancy. */
  reserve(worker: WorkerRecord): void {
    this.getTimes(worker).shift();
  }

  private getTimes(worker: WorkerRecord): Millis[] {
    const known = this.timesByWorker.get(worker);
    if (known !== undefined) return known;
    const times: Millis[] = [];
    for (const {expectedEndAt} of worker.runs.values()) {
      times.push(Math.max(expectedEndAt, this.now + OVERDUE_DELAY_MS));
    }
    times.sort((a, b) => a - b);
    this.timesByWorker.set(worker, times);
    return times;
  }
}
