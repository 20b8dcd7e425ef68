/** Options, limits and input types of the session owner. */
import type {
  Failure,
  Incarnation,
  PlacementTask,
  SubmittedJob,
} from '@goldcrestpier/protocol';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';

/** Limits on the state that a session owner keeps. */
export interface JobLimits {
  /** A session ends after being idle for this long. */
  readonly sessionIdleMs: Millis;
  readonly maxSessions: number;
  readonly maxKeysPerSession: number;
  /** Retention time of the answer of an ended job. */
  readonly answersKeptMs: Millis;
  /** Age since its receipt at which a copy of a submission is refused. */
  readonly maxCopyAgeMs: Millis;
}

/** Receives accepted tasks. Enqueues all tasks of a job or none of them. */
export interface TaskSink {
  /** An error guarantees that no task was or will be run. */
  enqueue(tasks: readonly PlacementTask[], now: Millis): Result<void, Failure>;
  cancel(taskIds: readonly string[], now: Millis): void;
}

/** Counts refusals by failure code, and ended jobs by state. */
export interface JobCounters {
  countRefusal(failure: Failure): void;
  countJob(state: string, milliseconds: Millis): void;
}

/** Configuration and dependencies of the session owner. */
export interface JobOwnerOptions {
  readonly self: Incarnation;
  readonly limits: JobLimits;
  readonly sink: TaskSink;
  /** Rejects jobs that can never run, such as for an unknown service. */
  readonly checkJob: (job: SubmittedJob) => Result<void, Failure>;
  readonly counters: JobCounters;
  readonly logger: Logger;
}

/** A submission as received by the session owner. */
export interface ReceivedSubmission {
  readonly session: string;
  readonly key: string;
  /** Undefined when the client does not number its attempts. */
  readonly attempt: number | undefined;
  readonly job: SubmittedJob;
  /** Upper bound of the time since an instance received it. */
  readonly ageMs: Millis;
}
