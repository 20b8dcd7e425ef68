/** The state of one accepted job and its tasks. */
import {
  createFailure,
  FailureCode,
  JobState,
  OutcomeKind,
  RunStatus,
  TaskState,
  type Failure,
  type JobAnswer,
  type TaskAnswer,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';

/** Identity of a job, and the time at which it was accepted. */
export interface JobHeader {
  readonly session: string;
  readonly key: string;
  readonly attempt: number;
  readonly digest: string;
  readonly team: string;
  readonly acceptedAt: Millis;
}

/** State and task counts of a job, without payloads or results. */
export interface JobSummary {
  readonly session: string;
  readonly key: string;
  readonly team: string;
  readonly state: JobState;
  readonly tasks: number;
  readonly done: number;
  readonly failed: number;
}

/** Tracks the tasks of a job and builds its answer. */
export class JobRecord {
  private tasks: TaskAnswer[];
  private openTaskCount: number;
  private failure: Failure | undefined;
  private hasExpired = false;
  private readonly endListeners = new Set<() => void>();
  /** Time at which the last task ended; undefined while the job runs. */
  endedAt: Millis | undefined;

  constructor(
    readonly header: JobHeader,
    readonly taskCount: number,
  ) {
    this.openTaskCount = taskCount;
    this.tasks = Array.from({length: taskCount}, (_, index) => ({
      index,
      state: TaskState.Waiting,
    }));
  }

  /** `Running` until all tasks have ended. */
  get state(): JobState {
    if (this.openTaskCount > 0) return JobState.Running;
    return this.failure === undefined ? JobState.Complete : JobState.Failed;
  }

  /** Whether the job has ended without any task having been started. */
  get hasEndedWithoutRunning(): boolean {
    return this.failure?.ran === RunStatus.NotRun;
  }

  /** Failure code of the job; undefined unless it has failed. */
  get failureCode(): FailureCode | undefined {
    return this.failure?.code;
  }

  /** Whether the task results were dropped to free memory. */
  get isAnswerExpired(): boolean {
    return this.hasExpired;
  }

  /** Number of tasks in `state`. */
  countTasks(state: TaskState): number {
    return this.tasks.filter(task => task.state === state).length;
  }

  /** Summarizes the job without payloads or results. */
  summarize(): JobSummary {
    const {session, key, team} = this.header;
    return {
      session,
      key,
      team,
      state: this.state,
      tasks: this.taskCount,
      done: this.countTasks(TaskState.Done),
      failed: this.countTasks(TaskState.Failed),
    };
  }

  /** Lists the indexes of the tasks that have not ended. */
  listOpenTasks(): number[] {
    return this.tasks.filter(isOpen).map(task => task.index);
  }

  /** Records that a task was sent to a backend server. */
  startTask(index: number): void {
    const task = this.tasks[index];
    if (task?.state !== TaskState.Waiting) return;
    this.tasks[index] = {index, state: TaskState.Started};
  }

  /**
   * Records the outcome of a task. Only the first outcome counts: a late or
   * duplicate reply must not change an answer that may already have been read.
   */
  endTask(index: number, outcome: TaskOutcome, now: Millis): void {
    const task = this.tasks[index];
    if (task === undefined || !isOpen(task)) return;
    this.tasks[index] = toTaskAnswer(index, outcome);
    this.openTaskCount -= 1;
    if (this.openTaskCount === 0) this.end(now);
  }

  /** Ends all open tasks immediately as cancelled. */
  cancelOpenTasks(now: Millis): void {
    for (const index of this.listOpenTasks()) {
      const wasStarted = this.tasks[index]?.state === TaskState.Started;
      const ran = wasStarted ? RunStatus.MayHaveRun : RunStatus.NotRun;
      const failure = createFailure(FailureCode.Cancelled, {}, {ran});
      this.endTask(index, {kind: OutcomeKind.Failed, failure}, now);
    }
  }

  /** Builds the answer from the current state of all tasks. */
  toAnswer(): JobAnswer {
    const {session, key, attempt} = this.header;
    const answer = {session, key, attempt, state: this.state};
    if (this.failure === undefined) return {...answer, tasks: this.tasks};
    return {...answer, failure: this.failure, tasks: this.tasks};
  }

  /** Resolves when the job has ended or `signal` aborts. */
  waitForEnd(signal: AbortSignal): Promise<void> {
    if (this.openTaskCount === 0 || signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const onEnd = () => {
        this.endListeners.delete(onEnd);
        signal.removeEventListener('abort', onEnd);
        resolve();
      };
      this.endListeners.add(onEnd);
      signal.addEventListener('abort', onEnd, {once: true});
    });
  }

  /** Drops the results of an ended job; its key remains in the session. */
  expireAnswer(): void {
    this.hasExpired = true;
    this.tasks = [];
  }

  private end(now: Millis): void {
    this.endedAt = now;
    this.failure = deriveJobFailure(this.tasks);
    for (const onEnd of [...this.endListeners]) onEnd();
  }
}

function isOpen(task: TaskAnswer): boolean {
  return task.state === TaskState.Waiting || task.state === TaskState.Started;
}

function toTaskAnswer(index: number, outcome: TaskOutcome): TaskAnswer {
  switch (outcome.kind) {
    case OutcomeKind.Done:
      return {index, state: TaskState.Done, result: outcome.result};
    case OutcomeKind.Failed:
      return {index, state: TaskState.Failed, failure: outcome.failure};
  }
}

/** Derives the failure of an ended job; undefined if all tasks succeeded. */
function deriveJobFailure(tasks: readonly TaskAnswer[]): Failure | undefined {
  const failures = tasks.flatMap(task => task.failure ?? []);
  const first = failures[0];
  if (first === undefined) return undefined;
  const hasNothingRun =
    failures.length === tasks.length &&
    failures.every(failure => failure.ran === RunStatus.NotRun);
  const ran = hasNothingRun ? RunStatus.NotRun : RunStatus.MayHaveRun;
  const retryAfterMs = hasNothingRun ? first.retryAfterMs : undefined;
  const details = retryAfterMs === undefined ? {ran} : {ran, retryAfterMs};
  if (failures.some(failure => failure.code === FailureCode.Cancelled)) {
    return createFailure(FailureCode.Cancelled, {}, details);
  }
  const counts = {failed: failures.length, tasks: tasks.length};
  return createFailure(FailureCode.TaskFailed, counts, details);
}
