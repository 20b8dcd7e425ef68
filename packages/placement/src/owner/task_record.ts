/** One task that its owner placed and that has not ended yet. */
import type {HeapEntry, Place} from '@goldcrestpier/limits';
import type {Grant} from '@goldcrestpier/peers';
import type {PlacedTask} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';

/** Where a task stands with its owner. */
export enum RecordState {
  /** Never under way, or proven not to have run. */
  Waiting = 'waiting',
  /** At least one start is under way. */
  Started = 'started',
  /** It has its final answer. */
  Ended = 'ended',
}

/** One start that is under way. */
export interface RunningStart {
  readonly grant: Grant;
  readonly startedAt: Millis;
  readonly controller: AbortController;
}

/** One task with its owner, from enqueue to its end. */
export interface TaskRecord {
  readonly task: PlacedTask;
  readonly pool: string;
  readonly enqueuedAt: Millis;
  state: RecordState;
  /** Whether it was ever tried on a server. */
  wasTried: boolean;
  /** Starts that have not been proven not to have run. */
  starts: number;
  /** Its place in the queue, also when it is not in it. */
  place: Place<TaskRecord> | undefined;
  deadline: HeapEntry<TaskRecord> | undefined;
  readonly running: Set<RunningStart>;
}

/** A task that was just taken in. */
export function createRecord(
  task: PlacedTask,
  pool: string,
  now: Millis,
): TaskRecord {
  return {
    task,
    pool,
    enqueuedAt: now,
    state: RecordState.Waiting,
    wasTried: false,
    starts: 0,
    place: undefined,
    deadline: undefined,
    running: new Set(),
  };
}
