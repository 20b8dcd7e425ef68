/** One accepted job: its tasks, how they ended, and its whole answer. */
import {
  createFailure,
  FailureCode,
  JobState,
  OutcomeKind,
  Ran,
  TaskState,
  type Failure,
  type JobAnswer,
  type TaskAnswer,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';

/** What identifies a job and when it was accepted. */
export interface JobHeader {
  readonly session: string;
  readonly key: string;
  readonly attempt: number;
  readonly digest: string;
  readonly team: string;
  readonly acceptedAt: Millis;
}

/** A job in figures, without payloads or results. */
export interface JobFigures {
  readonly session: string;
  readonly key: string;
  readonly team: string;
  readonly state: JobState;
  readonly tasks: number;
  readonly done: number;
  readonly failed: number;
}

/** A job that its owner keeps until the session ends. */
export class JobRecord {
  private tasks: TaskAnswer[];
  private open: number;
  private failure: Failure | undefined;
  private expired = false;
  private readonly endListeners = new Set<() => void>();
  /** When the last task ended; undefined before. */
  endedAt: Millis | undefined;

  constructor(
    readonly header: JobHeader,
    readonly taskCount: number,
  ) {
    this.open = taskCount;
    this.tasks = Array.from({length: taskCount}, (_, index) => ({
      index,
      state: TaskState.Waiting,
    }));
  }

  /** Running until the last task has ended. */
  get state(): JobState {
    if (this.open > 0) return JobState.Running;
    return this.failure === undefined ? JobState.Complete : JobState.Failed;
  }

  /** Whether nothing of this job was started, now that it has ended. */
  get endedWithoutRunning(): boolean {
    return this.failure?.ran === Ran.NotRun;
  }

  /** Why the job failed; undefined while it has not. */
  get failureCode(): FailureCode | undefined {
    return this.failure?.code;
  }

  /** Whether the answer has been dropped to free its memory. */
  get answerExpired(): boolean {
    return this.expired;
  }

  /** How many tasks are in `state`. */
  countTasks(state: TaskState): number {
    return this.tasks.filter(task => task.state === state).length;
  }

  /** The job in figures, without payloads or results. */
  summarize(): JobFigures {
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

  /** Indexes of the tasks that have not ended. */
  listOpenTasks(): number[] {
    return this.tasks.filter(isOpen).map(task => task.index);
  }

  /** Notes that a task was sent to a backend server. */
  startTask(index: number): void {
    const task = this.tasks[index];
    if (task?.state !== TaskState.Waiting) return;
    this.tasks[index] = {index, state: TaskState.Started};
  }

  /**
   * Notes how a task ended. Only its first end counts: a late or doubled
   * reply must not change an answer that may have been read.
   */
  endTask(index: number, outcome: TaskOutcome, now: Millis): void {
    const task = this.tasks[index];
    if (task === undefined || !isOpen(task)) return;
    this.tasks[index] = toTaskAnswer(index, outcome);
    this.open -= 1;
    if (this.open === 0) this.end(now);
  }

  /** Ends every open task at once, as cancelled. */
  cancelOpenTasks(now: Millis): void {
    for (const index of this.listOpenTasks()) {
      const started = this.tasks[index]?.state === TaskState.Started;
      const ran = started ? Ran.MayHaveRun : Ran.NotRun;
      const failure = createFailure(FailureCode.Cancelled, {}, {ran});
      this.endTask(index, {kind: OutcomeKind.Failed, failure}, now);
    }
  }

  /** The whole answer as it stands. */
  toAnswer(): JobAnswer {
    const {session, key, attempt} = this.header;
    const answer = {session, key, attempt, state: this.state};
    if (this.failure === undefined) return {...answer, tasks: this.tasks};
    return {...answer, failure: this.failure, tasks: this.tasks};
  }

  /** Waits until the job has ended, or until `signal` aborts. */
  waitForEnd(signal: AbortSignal): Promise<void> {
    if (this.open === 0 || signal.aborted) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        this.endListeners.delete(finish);
        signal.removeEventListener('abort', finish);
        resolve();
      };
      this.endListeners.add(finish);
      signal.addEventListener('abort', finish, {once: true});
    });
  }

  /** Drops the results of an ended job; its key stays known. */
  expireAnswer(): void {
    this.expired = true;
    this.tasks = [];
  }

  private end(now: Millis): void {
    this.endedAt = now;
    this.failure = findJobFailure(this.tasks);
    for (const finish of [...this.endListeners]) finish();
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

/** A job is complete only when each task has its result. */
function findJobFailure(tasks: readonly TaskAnswer[]): Failure | undefined {
  const failures = tasks.flatMap(task => task.failure ?? []);
  const first = failures[0];
  if (first === undefined) return undefined;
  const nothingRan =
    failures.length === tasks.length &&
    failures.every(failure => failure.ran === Ran.NotRun);
  const ran = nothingRan ? Ran.NotRun : Ran.MayHaveRun;
  const retryAfterMs = nothingRan ? first.retryAfterMs : undefined;
  const details = retryAfterMs === undefined ? {ran} : {ran, retryAfterMs};
  if (failures.some(failure => failure.code === FailureCode.Cancelled)) {
    return createFailure(FailureCode.Cancelled, {}, details);
  }
  const counts = {failed: failures.length, tasks: tasks.length};
  return createFailure(FailureCode.TaskFailed, counts, details);
}
