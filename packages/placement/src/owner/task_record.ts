/** The owner's record of one task. */
import type {HeapEntry, QueueEntry} from '@goldcrestpier/limits';
import type {Grant} from '@goldcrestpier/peers';
import type {PlacementTask} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';

/** State of a task at its owner. */
export enum RecordState {
  /** Not started yet, or all starts provably did not run. */
  Waiting = 'waiting',
  /** At least one start is in flight. */
  Started = 'started',
  /** It has its final answer. */
  Ended = 'ended',
}

/** One start in flight. */
export interface RunningStart {
  readonly grant: Grant;
  readonly startedAt: Millis;
  readonly controller: AbortController;
}

/** The state of one task from its admission to its end. */
export interface TaskRecord {
  readonly task: PlacementTask;
  readonly pool: string;
  readonly enqueuedAt: Millis;
  state: RecordState;
  /** Whether it was ever sent to a server. */
  wasTried: boolean;
  /** Number of starts that may have run. */
  starts: number;
  /** Its handle in the queue; kept while the task is not queued. */
  place: QueueEntry<TaskRecord> | undefined;
  deadline: HeapEntry<TaskRecord> | undefined;
  readonly running: Set<RunningStart>;
}

/** Creates the record of a newly admitted task. */
export function createRecord(
  task: PlacementTask,
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
