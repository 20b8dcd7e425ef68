/** Decides which waiting tasks start now, and where. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Neighbours, RemotePlace} from '../neighbours/index.js';
import {chooseWorker, Prospects, type Candidate} from '../placement/index.js';
import type {Board} from './board.js';
import {createRun} from './create_run.js';
import type {JobRecord, TaskRecord} from './job_record.js';
import {orderJobs} from './order.js';
import type {Order} from './orders.js';

/** A place in another zone must be better than the best here by this. */
const LEND_GAIN = 0.05;

/** Places the tasks of one board. */
export class Placer {
  constructor(
    private readonly board: Board,
    private readonly neighbours: Neighbours,
  ) {}

  /** Orders for all tasks that have a place now. */
  place(now: Millis): Order[] {
    const orders: Order[] = [];
    const waiting = [...this.board.jobs.values()].filter(record =>
      this.isPlaceable(record, now),
    );
    const prospects = new Prospects(now);
    for (const record of orderJobs(waiting, now)) {
      for (const task of record.ready()) {
        const order = this.placeTask(record, task, prospects, now);
        if (order !== undefined) orders.push(order);
      }
    }
    return orders;
  }

  /** Whether the job goes on and no run of an earlier holder is unknown. */
  private isPlaceable(record: JobRecord, now: Millis): boolean {
    if (record.ending !== undefined) return false;
    return now >= record.notBefore || this.board.isSurveyed;
  }

  private placeTask(
    record: JobRecord,
    task: TaskRecord,
    prospects: Prospects,
    now: Millis,
  ): Order | undefined {
    const {job} = record;
    const {queue, service, payload} = job;
    const {step, name} = task;
    const countOn = (workerId: string) => record.countOn(workerId, name.step);
    const candidate: Candidate = {queue, step, due: record, countOn};
    const {durations} = this.board;
    const workers = this.board.workersOf(service);
    const local = chooseWorker(candidate, workers, durations, prospects, now);
    const remote = record.isForeign
      ? undefined
      : this.neighbours.find(service, queue, step, record, durations, now);
    if (remote !== undefined && remote.worth > local.worth + LEND_GAIN) {
      return this.lend(record, task, remote, now);
    }
    if (local.kind === 'later') prospects.take(local.worker);
    if (local.kind !== 'now') return undefined;
    const workerId = local.worker.info.id;
    const {estimateMs} = step;
    const expectedMs = durations.expectOn(workerId, queue, estimateMs);
    const run = createRun(record, task, workerId, expectedMs, now);
    this.board.beginRun(record, task, run);
    return {kind: 'start', run, payload};
  }

  private lend(
    record: JobRecord,
    task: TaskRecord,
    {zone, expectedMs, take}: RemotePlace,
    now: Millis,
  ): Order {
    take();
    const run = createRun(record, task, zone, expectedMs, now);
    run.lentTo = zone;
    this.board.beginRun(record, task, run);
    return {kind: 'lend', zone, run, record, isAdopted: false};
  }
}
