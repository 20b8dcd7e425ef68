/** What waiting tasks need of a worker, and which of them a grant suits. */
import type {Grant} from '@goldcrestpier/peers';
import type {Server} from '@goldcrestpier/platform';
import {BackendKind, type Needs} from '@goldcrestpier/protocol';
import {fits, fitsFleet, LearnedNeeds, type Resources} from '../fit/index.js';
import {kindOf} from '../view.js';
import type {PoolQueue} from './pool_queue.js';
import type {TaskRecord} from './task_record.js';

/** Waiting tasks that are looked through for one that suits a grant. */
const MOST_LOOKED_AT = 64;

/** Needs of tasks, as declared and as learned. */
export class TaskNeeds {
  readonly learned = new LearnedNeeds();
  private largest: Resources = {processors: 0, memoryMb: 0, accelerators: 0};

  constructor(private readonly servers: () => readonly Server[]) {}

  /** Takes up the sizes of the fleet's workers. */
  refresh(): void {
    const workers = this.servers().filter(
      ({kind}) => kind === BackendKind.Worker,
    );
    const most = (pick: (server: Server) => number) =>
      workers.reduce((largest, each) => Math.max(largest, pick(each)), 0);
    this.largest = {
      processors: most(({processors}) => processors),
      memoryMb: most(({memoryMb}) => memoryMb),
      accelerators: most(({accelerators}) => accelerators),
    };
  }

  /** The needs of about the first `limit` waiting tasks; none for runners. */
  ofQueue = (queue: PoolQueue, limit: number): Resources[] =>
    queue.queue
      .firstItems(limit)
      .map(record => this.reservedFor(record))
      .filter(needs => needs !== undefined);

  /** A waiting task that the grant suits, the grant's own team first. */
  findFor(queue: PoolQueue, grant: Grant): TaskRecord | undefined {
    const granted = grant.needs;
    if (granted === undefined) return undefined;
    const suited = queue.queue.firstItems(MOST_LOOKED_AT).filter(record => {
      const needs = this.reservedFor(record);
      return needs !== undefined && fits(needs, granted);
    });
    const sizeOf = (record: TaskRecord) =>
      this.reservedFor(record)?.processors ?? 0;
    const isMate = (record: TaskRecord) =>
      record.task.team === grant.team ? 1 : 0;
    return suited.reduce<TaskRecord | undefined>((best, record) => {
      if (best === undefined) return record;
      const order =
        isMate(record) - isMate(best) || sizeOf(record) - sizeOf(best);
      return order > 0 ? record : best;
    }, undefined);
  }

  /** The larger of declared and learned, if any worker can offer that. */
  private reservedFor({task}: TaskRecord): Needs | undefined {
    if (task.target.kind !== BackendKind.Worker) return undefined;
    const declared = task.target.needs;
    const reserved = this.learned.reserve(kindOf(task), declared, this.largest);
    return fitsFleet(reserved, this.servers()) ? reserved : declared;
  }
}
