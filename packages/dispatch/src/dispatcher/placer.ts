/** Decides which waiting tasks start now, and where. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Neighbours, RemotePlace} from '../neighbours/index.js';
import {
  chooseFree,
  chooseLater,
  isWorthWaiting,
  Prospects,
  type Candidate,
} from '../placement/index.js';
import type {WorkerRecord} from '../workers/index.js';
import type {Board} from './board.js';
import {createRun} from './create_run.js';
import type {JobRecord, TaskRecord} from './job_record.js';
import {orderJobs} from './order.js';
import type {Order} from './orders.js';

/** A place in another zone must be better than the best here by this. */
const LEND_GAIN = 0.05;

/** A place of this worth is taken without looking for a better one. */
const SURE_WORTH = 0.95;

/** What stays the same while one round of tasks is placed. */
class Scene {
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

/** The workers but one, unless it is the only one. */
function leaveOut(
  workers: readonly WorkerRecord[],
  workerId: string | undefined,
): readonly WorkerRecord[] {
  if (workerId === undefined) return workers;
  const others = workers.filter(({info}) => info.id !== workerId);
  return others.length > 0 ? others : workers;
}

/** What became of one waiting task. */
type Placement =
  | {readonly kind: 'placed'; readonly order: Order}
  /** A worker that is about to have room is better than what is free. */
  | {readonly kind: 'waits'}
  | {readonly kind: 'no_room'};

/** When runs of an earlier holder that nobody told of have surely ended. */
export interface Barrier {
  /** Those on workers that do not answer. */
  readonly workersOverAt: Millis;
  /** Those that were lent to zones that do not answer. */
  readonly lentOverAt: Millis;
}

/** Places the tasks of one board. */
export class Placer {
  constructor(
    private readonly board: Board,
    private readonly neighbours: Neighbours,
    private readonly barrier: Barrier,
  ) {}

  /** Orders for all tasks that have a place now. */
  place(now: Millis): Order[] {
    const orders: Order[] = [];
    const waiting = [...this.board.jobs.values()].filter(record =>
      this.isPlaceable(record, now),
    );
    if (waiting.length === 0) return orders;
    const scene = new Scene(this.board, now);
    for (const record of orderJobs(waiting, now)) {
      for (const task of record.ready()) {
        const placement = this.placeTask(record, task, scene, now);
        // The tasks of a step are alike: where one has no room, none has.
        if (placement.kind === 'no_room') break;
        if (placement.kind === 'placed') orders.push(placement.order);
      }
    }
    return orders;
  }

  /** Whether the job goes on and no run of an earlier holder is unknown. */
  private isPlaceable(record: JobRecord, now: Millis): boolean {
    if (record.ending !== undefined) return false;
    if (!record.isResumed) return true;
    const {survey, areWorkersSurveyed} = this.board;
    const {workersOverAt, lentOverAt} = this.barrier;
    return (
      (areWorkersSurveyed || now >= workersOverAt) &&
      (survey.isComplete || now >= lentOverAt)
    );
  }

  private placeTask(
    record: JobRecord,
    task: TaskRecord,
    scene: Scene,
    now: Millis,
  ): Placement {
    const {queue, service, payload} = record.job;
    const {step, name} = task;
    const countOn = (workerId: string) => record.countOn(workerId, name.step);
    const candidate: Candidate = {queue, step, due: record, countOn};
    const {durations} = this.board;
    const workers = leaveOut(scene.usable(service), task.stalledOn);
    const free = chooseFree(candidate, workers, durations, now);
    const freeWorth = free?.worth ?? 0;
    const remote = this.findRemote(record, task, freeWorth, now);
    if (free === undefined && remote === undefined) return {kind: 'no_room'};
    const later =
      freeWorth < SURE_WORTH
        ? chooseLater(candidate, workers, durations, scene.prospects)
        : undefined;
    const localWorth = Math.max(freeWorth, later?.worth ?? 0);
    if (remote !== undefined && remote.worth > localWorth + LEND_GAIN) {
      return {kind: 'placed', order: this.lend(record, task, remote, now)};
    }
    if (later !== undefined && isWorthWaiting(later.worth, freeWorth)) {
      scene.prospects.take(later.worker);
      return {kind: 'waits'};
    }
    if (free === undefined) return {kind: 'no_room'};
    const workerId = free.worker.info.id;
    const run = createRun(record, task, workerId, free.expectedMs, now);
    this.board.beginRun(record, task, run);
    return {kind: 'placed', order: {kind: 'start', run, payload}};
  }

  private findRemote(
    record: JobRecord,
    {step}: TaskRecord,
    freeWorth: number,
    now: Millis,
  ): RemotePlace | undefined {
    if (record.isForeign || freeWorth >= SURE_WORTH) return undefined;
    const {queue, service} = record.job;
    const {durations} = this.board;
    return this.neighbours.find(service, queue, step, record, durations, now);
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
