/** Outcomes of jobs, for the instances that submitted them. */
import type {Millis} from '@goldcrestpier/runtime';

/** Why a job was refused. None of its tasks has started or will start. */
export enum RefusalReason {
  /** The work ahead of the job takes longer than the job can wait. */
  Overloaded = 'overloaded',
  /** The job has waited until its result would be useless. */
  TooLate = 'too_late',
  /** No worker of the zone is large enough or has the required label. */
  NoFit = 'no_fit',
  /** The zone currently has no worker of the service. */
  NoWorkers = 'no_workers',
  /** The holder has no processor time left to accept more jobs. */
  HolderBusy = 'holder_busy',
  /** Its tasks can't all be started in its time beside those of others. */
  TooManyStarts = 'too_many_starts',
  /** The holder keeps as many jobs, tasks or bytes as it may. */
  HolderFull = 'holder_full',
  /** Another holder has replaced the one that delegates the task. */
  Outdated = 'outdated',
}

/** Why a started job was abandoned. None of its tasks runs any more. */
export enum AbandonReason {
  /** The caller's deadline or the queue's timeout passed. */
  Deadline = 'deadline',
  /** A request to cancel the job, whoever waited for it. */
  Cancelled = 'cancelled',
  /** Every caller that waited for the job has disconnected. */
  CallerLeft = 'caller_left',
  /** The zone that delegated the task has recalled it. */
  Recalled = 'recalled',
  /** The run of a delegated task was lost; it does not run any more. */
  RunLost = 'run_lost',
  /** The worker of a task crashed, and there is no time to run it again. */
  WorkerCrashed = 'worker_crashed',
  /**
   * A start command of a task got no answer and may be executed late, so that
   * the task can't be started again in time.
   */
  StartUnanswered = 'start_unanswered',
  /** A run shows by its progress that it can't end before the deadline. */
  RunTooLong = 'run_too_long',
  /** The instance that submitted the job is gone. */
  OwnerLost = 'owner_lost',
}

/** How a job ended. */
export type Outcome =
  | {readonly kind: 'completed'}
  | {readonly kind: 'failed'}
  | {
      readonly kind: 'refused';
      readonly reason: RefusalReason;
      readonly retryAfterMs: Millis;
    }
  | {readonly kind: 'abandoned'; readonly reason: AbandonReason};

/** Creates the outcome of an abandoned job. */
export function createAbandoned(reason: AbandonReason): Outcome {
  return {kind: 'abandoned', reason};
}
