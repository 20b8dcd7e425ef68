/** What the owner of sessions is given, and what it is asked. */
import type {
  Failure,
  Incarnation,
  PlacedTask,
  SubmittedJob,
} from '@goldcrestpier/protocol';
import type {Logger, Millis} from '@goldcrestpier/runtime';
import type {Result} from 'ts-results-es';

/** Bounds on what an owner keeps. */
export interface JobLimits {
  /** A session unused for this long ends. */
  readonly sessionIdleMs: Millis;
  readonly maxSessions: number;
  readonly maxKeysPerSession: number;
  /** How long the answer of an ended job is kept. */
  readonly answersKeptMs: Millis;
  /** The longest that a copy of a submission may live inside the system. */
  readonly maxCopyAgeMs: Millis;
}

/** Where accepted tasks go. All of a job's tasks are taken, or none. */
export interface TaskSink {
  /** An error is a true "not run". */
  enqueue(tasks: readonly PlacedTask[], now: Millis): Result<void, Failure>;
  cancel(taskIds: readonly string[], now: Millis): void;
}

/** Counts what is refused, by the failure's code. */
export interface JobCounters {
  countRefusal(failure: Failure): void;
  countJob(state: string, milliseconds: Millis): void;
}

/** What the owner of sessions is given. */
export interface JobOwnerOptions {
  readonly self: Incarnation;
  readonly limits: JobLimits;
  readonly sink: TaskSink;
  /** Turns down what can never run, such as an unknown service. */
  readonly checkJob: (job: SubmittedJob) => Result<void, Failure>;
  readonly counters: JobCounters;
  readonly logger: Logger;
}

/** A submission as it reaches the owner. */
export interface ArrivedSubmission {
  readonly session: string;
  readonly key: string;
  /** Absent when the client sends no attempts. */
  readonly attempt: number | undefined;
  readonly job: SubmittedJob;
  /** Never below the time since an instance received it. */
  readonly ageMs: Millis;
}
