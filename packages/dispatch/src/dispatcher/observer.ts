/** Receives state changes of a dispatcher, for logs and metrics. */
import type {Millis} from '@goldcrestpier/runtime';
import type {CrashVerdict} from '../crashes/index.js';
import type {RefusalReason} from '../work/index.js';
import type {Run, RunConclusion} from '../workers/index.js';
import type {StrikeReason} from './worker_state/index.js';
import type {JobRecord} from './jobs/index.js';

/** What is known of a job that is refused. */
export type RefusedJob = Pick<JobRecord, 'job' | 'isInbound' | 'planned'>;

/** Times that belong to a refusal. */
export interface RefusalTimes {
  /** Time until the work ahead of the job has drained. */
  readonly waitMs: Millis;
  /** Retry delay that its caller is told. */
  readonly retryAfterMs: Millis;
}

/** Tasks placed in one round, on workers where tasks of unequal size wait. */
export interface PlannedCounts {
  /** Waiting tasks for which capacity was held until the end of the round. */
  readonly reserved: number;
  /** Starts of tasks for which capacity was held on their worker before. */
  readonly reservedStarts: number;
  /** Starts on capacity that another task holds from a later time on. */
  readonly backfilledStarts: number;
}

/** Receives state changes, for logs and metrics. */
export interface DispatchObserver {
  runEnded(run: Run, conclusion: RunConclusion, tookMs: Millis): void;
  /** A worker answers again after its leases expired with these runs. */
  lossesExplained(
    workerId: string,
    losses: readonly Run[],
    hasRestarted: boolean,
  ): void;
  workerStruck(
    workerId: string,
    reason: StrikeReason,
    isEjected: boolean,
  ): void;
  /** A worker crashed while the run was there. */
  crashRecorded(run: Run, verdict: CrashVerdict): void;
  /** A job fails because these workers crashed under a task of it. */
  jobFailedByCrashes(
    jobId: string,
    task: string,
    workerIds: readonly string[],
  ): void;
  /**
   * A job ends because a start of this task got no answer, so that it can't be
   * started again for `blockedMs`.
   */
  jobBlocked(jobId: string, task: string, blockedMs: Millis): void;
  /** This many unanswered starts were forgotten, as there were too many. */
  startsForgotten(count: number): void;
  /** Tasks were placed with regard to others that wait, in one round. */
  startsPlanned(counts: PlannedCounts): void;
  /** A late run is stopped; elsewhere it takes `lengthFactor` times `expectedMs`. */
  runMoved(run: Run, lengthFactor: number): void;
  /**
   * A job ends early: by its progress this run takes `totalMs` in all, and only
   * `leftMs` remain until the deadline.
   */
  jobOverlong(run: Run, totalMs: Millis, leftMs: Millis): void;
  jobRefused(
    refused: RefusedJob,
    reason: RefusalReason,
    times: RefusalTimes,
    now: Millis,
  ): void;
}
