/** Decides which waiting tasks start now, and where, and which jobs can't. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Neighbours} from '../neighbours/index.js';
import {planStep, type Place, type StepPlan} from '../placement/index.js';
import {RefusalReason} from '../work/index.js';
import type {WorkerRecord} from '../workers/index.js';
import type {Board} from './board.js';
import {createRun} from './create_run.js';
import {createDemand} from './demand.js';
import type {JobRecord, TaskRecord} from './job_record.js';
import {findLeastWorth} from './least_worth.js';
import {moveLateRuns} from './mover.js';
import {orderJobs} from './order.js';
import type {Order} from './orders.js';
import {estimateDrain} from './refusal.js';
import {Scene} from './scene.js';

/** The workers but one, unless it is the only one. */
function leaveOut(
  workers: readonly WorkerRecord[],
  workerId: string | undefined,
): readonly WorkerRecord[] {
  if (workerId === undefined) return workers;
  const others = workers.filter(({info}) => info.id !== workerId);
  return others.length > 0 ? others : workers;
}

/**
 * How long after the first worker follows this holder runs of an earlier one,
 * that nobody told of, have surely ended. Until then an earlier holder may go
 * on, however long ago this one claimed.
 */
export interface Barrier {
  /** Those on workers, listed here or not. */
  readonly workersMs: Millis;
  /** Those that were lent to zones that do not answer. */
  readonly lentMs: Millis;
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
    // By an old list tasks would start on workers that have left since.
    if (!this.board.isListConfirmed) return [];
    const waiting = [...this.board.jobs.values()].filter(record =>
      this.isPlaceable(record, now),
    );
    const scene = new Scene(this.board, waiting, now);
    moveLateRuns(this.board, scene, now);
    return orderJobs(waiting).flatMap(record =>
      groupTasks(record).flatMap(tasks =>
        this.placeTasks(record, tasks, scene, now),
      ),
    );
  }

  /** Whether the job goes on and no run of an earlier holder is unknown. */
  private isPlaceable(record: JobRecord, now: Millis): boolean {
    if (record.ending !== undefined || !record.hasWaiting) return false;
    // What runs for another zone has to end first.
    if (this.board.foreignRecords.has(record.id)) return false;
    // A job that its client sends again may run at a worker not yet seen.
    if (!this.areEarlierRunsOver(now) && this.board.areWorkersUnseen) {
      return false;
    }
    return this.isSettled(record, now);
  }

  /** Whether nothing of the job can run that is not known here. */
  isSettled(record: JobRecord, now: Millis): boolean {
    if (!record.mayRunUnseen) return true;
    if (!this.areEarlierRunsOver(now)) return false;
    return (
      this.board.survey.isComplete || this.isPast(this.barrier.lentMs, now)
    );
  }

  /**
   * Whether no worker can run anything that an earlier holder started. A worker
   * that no list has may run it, so only time tells.
   */
  areEarlierRunsOver(now: Millis): boolean {
    return this.isPast(this.barrier.workersMs, now);
  }

  private isPast(durationMs: Millis, now: Millis): boolean {
    const {followedSince} = this.board;
    return followedSince !== undefined && now >= followedSince + durationMs;
  }

  /** Places tasks that are alike. */
  private placeTasks(
    record: JobRecord,
    tasks: readonly TaskRecord[],
    scene: Scene,
    now: Millis,
  ): Order[] {
    // Another step of the job may have been found hopeless just now.
    if (record.ending !== undefined) return [];
    const plan = this.plan(record, tasks, scene, now);
    if (this.isHopeless(record, plan, scene)) {
      const waitMs = estimateDrain(this.board, record.job, now);
      this.board.refuse(record, RefusalReason.Overloaded, waitMs, now);
      return [];
    }
    return plan.places.flatMap((place, index) => {
      const task = tasks[index];
      if (task === undefined) return [];
      return this.takePlace(record, task, place, scene, now);
    });
  }

  private plan(
    record: JobRecord,
    tasks: readonly TaskRecord[],
    scene: Scene,
    now: Millis,
  ): StepPlan {
    const [first] = tasks;
    if (first === undefined) return {places: [], worth: 0};
    const {service} = record.job;
    const {durations} = this.board;
    const demand = createDemand(record, first, tasks.length);
    const workers = leaveOut(scene.usable(service), first.stalledOn);
    const remotes = record.isForeign
      ? []
      : this.neighbours.list(service, demand, durations, now);
    const forecast = {durations, prospects: scene.prospects};
    return planStep(demand, workers, remotes, forecast, now);
  }

  /** Whether the job has not begun and is not worth to begin. */
  private isHopeless(
    record: JobRecord,
    {worth}: StepPlan,
    {isCrowded}: Scene,
  ): boolean {
    const {hasStarted, isForeign, planned, job} = record;
    if (hasStarted || isForeign) return false;
    // Workers that a new holder has not looked at yet have room in a moment.
    if (this.board.hasUnseenWorkers(job.service)) return false;
    const isNew = planned === undefined;
    const leastWorth = findLeastWorth(record, {isCrowded, isNew});
    record.planned = {worth, leastWorth};
    return worth < leastWorth;
  }

  private takePlace(
    record: JobRecord,
    task: TaskRecord,
    place: Place,
    scene: Scene,
    now: Millis,
  ): Order[] {
    switch (place.kind) {
      case 'free': {
        const {worker, expectedMs} = place;
        const run = createRun(record, task, worker.info.id, expectedMs, now);
        this.board.beginRun(record, task, run);
        return [{kind: 'start', run, payload: record.job.payload}];
      }
      case 'remote': {
        const {zone, expectedMs, take} = place;
        take();
        const run = createRun(record, task, zone, expectedMs, now);
        run.lentTo = zone;
        this.board.beginRun(record, task, run);
        return [{kind: 'lend', zone, run, record, isAdopted: false}];
      }
      case 'later':
        if (place.isVacancy) scene.prospects.take(place.worker);
        return [];
    }
  }
}

/** The tasks that wait, in groups that may run in the same places. */
function groupTasks(record: JobRecord): readonly TaskRecord[][] {
  const groups = new Map<string, TaskRecord[]>();
  for (const task of record.ready()) {
    const key = `${task.name.step} ${task.stalledOn ?? ''}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [task]);
    else group.push(task);
  }
  return [...groups.values()];
}
