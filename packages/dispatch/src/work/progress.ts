/** What one holder knows of a job, for the holder that comes after it. */
import type {Millis} from '@goldcrestpier/runtime';

/** What is known of one task that was started. */
export interface TaskProgress {
  /** The task's name as text. */
  readonly key: string;
  /** Highest run number used so far. */
  readonly lastRun: number;
  /** Runs that ended as failed. */
  readonly failures: number;
  readonly state: TaskProgressState;
}

/** Where a task stands. */
export type TaskProgressState =
  | {readonly kind: 'waiting'}
  | {
      readonly kind: 'running';
      readonly run: number;
      readonly workerId: string;
      /** How long ago it was started. */
      readonly tookMs: Millis;
    }
  | {
      readonly kind: 'lent';
      readonly run: number;
      readonly zone: string;
      readonly tookMs: Millis;
    }
  | {readonly kind: 'done'};

/** What is known of a job; tasks that are not listed have not been started. */
export interface JobProgress {
  /** Whether nothing else of the job can run anywhere. */
  readonly isComplete: boolean;
  readonly tasks: readonly TaskProgress[];
}
