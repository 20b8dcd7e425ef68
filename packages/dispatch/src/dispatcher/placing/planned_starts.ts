/** Starts and reservations of a round, as they affect the tasks after them. */
import type {Millis} from '@goldcrestpier/runtime';
import type {
  CapacityForecast,
  FreePlace,
  LaterPlace,
} from '../../placement/index.js';
import type {TaskRecord} from '../jobs/index.js';
import type {DispatchObserver} from '../observer.js';

/** Records starts and reservations in the forecast, and counts them. */
export class PlannedStarts {
  /** On which worker the task had a reservation last. */
  private readonly reservedOn = new WeakMap<TaskRecord, string>();
  private reserved = 0;
  private reservedStarts = 0;
  private backfilledStarts = 0;

  constructor(private readonly observer: DispatchObserver) {}

  /** Records a start, before its run is added to the worker. */
  start(
    forecast: CapacityForecast,
    task: TaskRecord,
    {worker, expectedMs}: FreePlace,
    now: Millis,
  ): void {
    if (this.reservedOn.get(task) === worker.info.id) this.reservedStarts += 1;
    const {need} = task.step;
    if (forecast.isBackfill(worker, need)) this.backfilledStarts += 1;
    forecast.occupy({worker, need, startAt: now, expectedMs});
  }

  /** Records that a task is planned for a later time. */
  reserve(
    forecast: CapacityForecast,
    task: TaskRecord,
    {worker, startAt, expectedMs, isVacancy}: LaterPlace,
  ): void {
    if (!isVacancy) return;
    const {need} = task.step;
    if (!forecast.reserve({worker, need, startAt, expectedMs})) return;
    this.reserved += 1;
    this.reservedOn.set(task, worker.info.id);
  }

  /** Reports what was counted since the last report. */
  report(): void {
    const {reserved, reservedStarts, backfilledStarts} = this;
    if (reserved + reservedStarts + backfilledStarts === 0) return;
    this.observer.startsPlanned({reserved, reservedStarts, backfilledStarts});
    this.reserved = 0;
    this.reservedStarts = 0;
    this.backfilledStarts = 0;
  }
}
