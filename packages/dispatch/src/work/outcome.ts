/** How a job ends for the instance that handed it in. */
import type {Millis} from '@goldcrestpier/runtime';

/** Why a job was refused. A refused job has had no start and gets none. */
export enum RefusalReason {
  /** The queue in front of the workers is longer than the job can wait. */
  Overloaded = 'overloaded',
  /** The job waited and can no longer end while it is of use. */
  TooLate = 'too_late',
  /** No worker of the zone is large enough or carries the label. */
  NoFit = 'no_fit',
  /** The zone has no worker of the service at present. */
  NoWorkers = 'no_workers',
  /** The holder has no processor time left to take up more jobs. */
  HolderBusy = 'holder_busy',
  /** Another holder has followed the one that lends the task. */
  Outdated = 'outdated',
}

/** Why a job that had started was given up. Nothing of it runs any more. */
export enum AbandonReason {
  /** The caller's deadline or the queue's timeout passed. */
  Deadline = 'deadline',
  /** The caller left or cancelled. */
  Cancelled = 'cancelled',
  /** A lent task's run was lost; nothing of it runs any more. */
  RunLost = 'run_lost',
  /** The instance that handed the job in is gone. */
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
