/** Resource needs of waiting tasks, and matching of tasks with grants. */
import type {Grant} from '@goldcrestpier/peers';
import type {Server} from '@goldcrestpier/platform';
import {BackendKind, type Needs} from '@goldcrestpier/protocol';
import {
  fits,
  fitsAnyWorker,
  LearnedNeeds,
  type Resources,
} from '../fit/index.js';
import {kindOf} from '../view.js';
import type {PoolQueue} from './pool_queue.js';
import type {TaskRecord} from './task_record.js';

/** Maximum number of waiting tasks examined for one that fits a grant. */
const MAX_SCANNED_TASKS = 64;

/** Computes the needs of tasks from declared and measured usage. */
export class TaskNeeds {
  readonly learned = new LearnedNeeds();
  private largest: Resources = {processors: 0, memoryMb: 0, accelerators: 0};

  constructor(private readonly servers: () => readonly Server[]) {}

  /** Updates the size of the largest worker. */
  refresh(): void {
    const workers = this.servers().filter(
      ({kind}) => kind === BackendKind.Worker,
    );
    const largestOf = (pick: (server: Server) => number) =>
      workers.reduce((largest, each) => Math.max(largest, pick(each)), 0);
    this.largest = {
      processors: largestOf(({processors}) => processors),
      memoryMb: largestOf(({memoryMb}) => memoryMb),
      accelerators: largestOf(({accelerators}) => accelerators),
    };
  }

  /** The needs of about the first `limit` waiting tasks; empty for runners. */
  needsOfQueue = (queue: PoolQueue, limit: number): Resources[] =>
    queue.queue
      .firstItems(limit)
      .map(record => this.reservedFor(record))
      .filter(needs => needs !== undefined);

  /** A waiting task that fits the grant, preferring its team, then size. */
  findFitting(queue: PoolQueue, grant: Grant): TaskRecord | undefined {
    const granted = grant.needs;
    if (granted === undefined) return undefined;
    const fitting = queue.queue.firstItems(MAX_SCANNED_TASKS).filter(record => {
      const needs = this.reservedFor(record);
      return needs !== undefined && fits(needs, granted);
    });
    const sizeOf = (record: TaskRecord) =>
      this.reservedFor(record)?.processors ?? 0;
    const teamMatch = (record: TaskRecord) =>
      record.task.team === grant.team ? 1 : 0;
    return fitting.reduce<TaskRecord | undefined>((best, record) => {
      if (best === undefined) return record;
      const order =
        teamMatch(record) - teamMatch(best) || sizeOf(record) - sizeOf(best);
      return order > 0 ? record : best;
    }, undefined);
  }

  /** The larger of declared and measured needs if any worker can fit them. */
  private reservedFor({task}: TaskRecord): Needs | undefined {
    if (task.target.kind !== BackendKind.Worker) return undefined;
    const declared = task.target.needs;
    const reserved = this.learned.reserve(kindOf(task), declared, this.largest);
    return fitsAnyWorker(reserved, this.servers()) ? reserved : declared;
  }
}
