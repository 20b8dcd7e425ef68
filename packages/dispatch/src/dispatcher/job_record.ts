/** A job that has not ended, and the state of each of its tasks. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  formatTaskName,
  type Job,
  type DelegatedTask,
  type Outcome,
  type Step,
  type TaskName,
} from '../work/index.js';
import type {DueTimes} from '../placement/index.js';
import type {Run} from '../workers/index.js';

/** Multiple of its objective up to which a late job is still useful. */
const USEFUL_OBJECTIVE_FACTOR = 3;

/** State of a task as the holder knows it. */
export type TaskState =
  | {readonly kind: 'waiting'}
  | {readonly kind: 'running'; readonly run: Run}
  | {readonly kind: 'done'};

/** One task of a job. */
export interface TaskRecord {
  readonly name: TaskName;
  readonly key: string;
  readonly step: Step;
  state: TaskState;
  /** Highest run number used so far. */
  lastRun: number;
  /** Runs that ended as failed. */
  failures: number;
  /** The worker on which a run was stopped because it was late or stalled. */
  movedFrom: string | undefined;
}

/** Expected worth of a plan, and the minimum to accept it; both 0 to 1. */
export interface PlannedWorth {
  readonly worth: number;
  readonly minWorth: number;
}

/** A job with its tasks. */
export class JobRecord {
  readonly tasks: readonly TaskRecord[];
  /** Time by which the job should end. */
  readonly dueAt: Millis;
  /** Time after which an answer is useless. */
  readonly usefulUntil: Millis;
  /** Whether a start command was ever sent for any of its tasks. */
  hasStarted = false;
  /** Worth of its last plan; undefined before the first one. */
  planned: PlannedWorth | undefined;
  /** Outcome with which it ends once none of its tasks runs any more. */
  pendingOutcome: Outcome | undefined;
  /** When it became known that an earlier holder may have started it. */
  resumedAt: Millis | undefined;
  /** Whether runs of an earlier holder may go on that are not known here. */
  mayHaveUnknownRuns = false;
  /** Whether another zone might run it when it was submitted here. */
  isHeldBack = false;

  /** `expectedMs` is the run time of the job if no task has to wait. */
  constructor(
    readonly job: Job,
    readonly expectedMs: Millis,
    lastRun: number,
  ) {
    this.tasks = createTasks(job, lastRun);
    const {dueAt, usefulUntil} = computeDueTimes(job, expectedMs);
    this.dueAt = dueAt;
    this.usefulUntil = usefulUntil;
  }

  /** Identifies the record among those of its holder. */
  get id(): string {
    return this.job.id;
  }

  /** ID under which its caller submitted the job. */
  get submittedId(): string {
    return this.job.delegated?.name.jobId ?? this.job.id;
  }

  /** Whether it is a single task that another zone delegated to this one. */
  get isInbound(): boolean {
    return this.job.delegated !== undefined;
  }

  /** Whether an earlier holder may have started it. */
  get isResumed(): boolean {
    return this.resumedAt !== undefined;
  }

  /**
   * Whether it only waits for the run of a delegated task that was sent before;
   * nothing is started for it.
   */
  get isReattached(): boolean {
    return this.isInbound && this.isResumed;
  }

  /** Finds a task by its name as text. */
  findTask(key: string): TaskRecord | undefined {
    return this.tasks.find(task => task.key === key);
  }

  /** The latest start time with which it is expected to end when due. */
  get startBy(): Millis {
    return this.dueAt - this.expectedMs;
  }

  /** Whether all tasks are done. */
  get isDone(): boolean {
    return this.tasks.every(({state}) => state.kind === 'done');
  }

  /** Whether a run of any task may still go on. */
  get isRunning(): boolean {
    return this.tasks.some(({state}) => state.kind === 'running');
  }

  /**
   * Whether a run may still go on before whose end the job must not end. A zone
   * that reattaches starts the task again once it is told that no run goes on.
   */
  get mayStillRun(): boolean {
    if (this.isRunning) return true;
    return this.isReattached && this.mayHaveUnknownRuns && !this.isDone;
  }

  /** Whether it, or an earlier submission of it, may have started a run. */
  get mayHaveRuns(): boolean {
    if (this.hasStarted || this.mayHaveUnknownRuns) return true;
    return this.tasks.some(({lastRun}) => lastRun > 0);
  }

  /** Whether any task is neither running nor done. */
  get hasWaitingTasks(): boolean {
    return this.tasks.some(({state}) => state.kind === 'waiting');
  }

  /** Iterates over the runs that may still go on. */
  *runs(): Iterable<Run> {
    for (const {state} of this.tasks) {
      if (state.kind === 'running') yield state.run;
    }
  }

  /** Iterates over waiting tasks whose earlier steps are done. */
  *readyTasks(): Iterable<TaskRecord> {
    for (const task of this.tasks) {
      if (task.state.kind === 'waiting' && this.areEarlierStepsDone(task))
        yield task;
    }
  }

  /** Counts the running tasks of a step on one worker. */
  countRunningOn(workerId: string, step: number): number {
    let count = 0;
    for (const {name, state} of this.tasks) {
      if (state.kind !== 'running' || name.step !== step) continue;
      if (state.run.workerId === workerId) count += 1;
    }
    return count;
  }

  private areEarlierStepsDone({step}: TaskRecord): boolean {
    return step.after.every(index =>
      this.tasks.every(
        ({name, state}) => name.step !== index || state.kind === 'done',
      ),
    );
  }
}

/** Computes when a job should end; `expectedMs` is its ideal run time. */
export function computeDueTimes(job: Job, expectedMs: Millis): DueTimes {
  const objectiveMs = job.stretch * expectedMs + job.targetMs;
  const usefulMs = USEFUL_OBJECTIVE_FACTOR * objectiveMs;
  return {
    dueAt: Math.min(job.arrivedAt + objectiveMs, job.deadlineAt),
    usefulUntil: Math.min(job.arrivedAt + usefulMs, job.deadlineAt),
  };
}

function createTasks(job: Job, lastRun: number): TaskRecord[] {
  const {delegated} = job;
  if (delegated !== undefined) return createDelegatedTask(job, delegated);
  const tasks: TaskRecord[] = [];
  for (const [stepIndex, step] of job.steps.entries()) {
    for (let index = 0; index < step.tasks; index += 1) {
      const name = {jobId: job.id, step: stepIndex, index};
      const key = formatTaskName(name);
      const state = {kind: 'waiting'} as const;
      tasks.push({
        name,
        key,
        step,
        state,
        lastRun,
        failures: 0,
        movedFrom: undefined,
      });
    }
  }
  return tasks;
}

function createDelegatedTask(
  job: Job,
  {name, run}: DelegatedTask,
): TaskRecord[] {
  const [step] = job.steps;
  if (step === undefined) return [];
  const key = formatTaskName(name);
  const state = {kind: 'waiting'} as const;
  return [
    {
      name,
      key,
      step,
      state,
      lastRun: run - 1,
      failures: 0,
      movedFrom: undefined,
    },
  ];
}
