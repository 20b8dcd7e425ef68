/** Progress of a job, which one holder passes to the next. */
import type {Millis} from '@goldcrestpier/runtime';

/** Progress of one task that has been started. */
export interface TaskProgress {
  /** The task's name as text. */
  readonly key: string;
  /** Highest run number used so far. */
  readonly lastRun: number;
  /** Runs that ended as failed. */
  readonly failures: number;
  readonly state: TaskProgressState;
}

/** State of a task. */
export type TaskProgressState =
  | {readonly kind: 'waiting'}
  | {
      readonly kind: 'running';
      readonly run: number;
      readonly workerId: string;
      /** Time since its start, in ms. */
      readonly tookMs: Millis;
    }
  | {
      readonly kind: 'lent';
      readonly run: number;
      readonly zone: string;
      readonly tookMs: Millis;
    }
  | {readonly kind: 'done'};

/** Progress of a job. Tasks that are not listed have not been started. */
export interface JobProgress {
  /** Whether the list contains every run of the job that may go on. */
  readonly isComplete: boolean;
  readonly tasks: readonly TaskProgress[];
}
