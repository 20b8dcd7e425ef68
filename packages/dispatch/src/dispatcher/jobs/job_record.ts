/** A job that has not ended, and the state of each of its tasks. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  measureJob,
  type JobSize,
  type SizeClass,
} from '../../admission/index.js';
import {
  USEFUL_OBJECTIVE_FACTOR,
  type DueTimes,
  type Objective,
} from '../../placement/index.js';
import {
  findLongestChain,
  type Job,
  type Outcome,
  type Step,
} from '../../work/index.js';
import {NO_TAIL, ShownLengths, type Tail} from '../../work_estimates/index.js';
import type {Run} from '../../workers/index.js';
import {TaskIndex, type StepTasks} from './task_index.js';
import {createTasks, type TaskRecord, type TaskState} from './task_record.js';

/** Expected worth of a plan, and the minimum to accept it; both 0 to 1. */
export interface PlannedWorth {
  readonly worth: number;
  readonly minWorth: number;
  /** Factor on the minimum worth, up to 1; lower if its queue or size is behind. */
  readonly fairness: number;
  readonly sizeClass: SizeClass;
}

/** A job with its tasks. */
export class JobRecord implements DueTimes {
  readonly tasks: readonly TaskRecord[];
  private readonly index: TaskIndex;
  /** What it takes of the holder's memory. */
  readonly size: JobSize;
  /** Time by which the job should end, as far as its length is known. */
  dueAt: Millis = 0;
  /** Time after which an answer is useless, as far as its length is known. */
  usefulUntil: Millis = 0;
  /** What its due times are computed from. */
  objective: Objective;
  private readonly shown = new ShownLengths();
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
    private readonly tail: Tail = NO_TAIL,
  ) {
    this.tasks = createTasks(job, lastRun);
    this.index = new TaskIndex(this.tasks);
    this.size = measureJob(job);
    this.objective = this.setChain(expectedMs, undefined);
  }

  /**
   * Sets what a task shows of its length on a worker of typical speed; the due
   * times of the job move with its longest tasks.
   */
  showLength({name, key, step}: TaskRecord, lengthMs: Millis): void {
    const {job, shown, queueFactor} = this;
    if (!shown.set(name.step, key, lengthMs)) return;
    const predict = (one: Step) => one.estimateMs * queueFactor;
    const longestMs = shown.findLongest(name.step) ?? lengthMs;
    const chainMs =
      job.steps.length === 1
        ? longestMs
        : findLongestChain(
            job.steps,
            (one, index) => shown.findLongest(index) ?? predict(one),
          );
    this.setChain(chainMs, longestMs / Math.max(predict(step), 1));
  }

  /** Predicted relative to declared run time of its tasks. */
  private get queueFactor(): number {
    const declaredMs = findLongestChain(
      this.job.steps,
      ({estimateMs}) => estimateMs,
    );
    return this.expectedMs / Math.max(declaredMs, 1);
  }

  private setChain(
    chainMs: Millis,
    shownFactor: number | undefined,
  ): Objective {
    const {job, tail} = this;
    const {arrivedAt, deadlineAt, targetMs, stretch} = job;
    const {dueAt, usefulUntil} = computeDueTimes(job, chainMs);
    this.dueAt = dueAt;
    this.usefulUntil = usefulUntil;
    const stretchedMs = stretch * chainMs;
    const times = {arrivedAt, deadlineAt, targetMs, stretchedMs};
    this.objective = {...times, tail, shownFactor};
    return this.objective;
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
    return this.index.find(key);
  }

  /** Changes the state of one of its tasks. */
  setState(task: TaskRecord, state: TaskState): void {
    this.index.setState(task, state);
  }

  /** The steps with their tasks that are not done. */
  get steps(): Iterable<StepTasks> {
    return this.index.steps;
  }

  /** The latest start time with which it is expected to end when due. */
  get startBy(): Millis {
    return this.dueAt - this.expectedMs;
  }

  /** Whether all tasks are done. */
  get isDone(): boolean {
    return this.waitingCount === 0 && !this.isRunning;
  }

  /** Whether a run of any task may still go on. */
  get isRunning(): boolean {
    return this.index.runningCount > 0;
  }

  /** Number of tasks that neither run nor are done. */
  get waitingCount(): number {
    return this.index.waitingCount;
  }

  /** Number of tasks that run or are done. */
  get startedCount(): number {
    return this.tasks.length - this.index.waitingCount;
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

  /** Iterates over the runs that may still go on. */
  *runs(): Iterable<Run> {
    for (const {state} of this.index.running) {
      if (state.kind === 'running') yield state.run;
    }
  }

  /** The tasks with a run that may still go on. */
  runningTasks(): Iterable<TaskRecord> {
    return this.index.running;
  }

  /** Iterates over waiting tasks whose earlier steps are done. */
  readyTasks(): Iterable<TaskRecord> {
    return this.index.readyTasks();
  }

  /** Whether any waiting task could start as far as its steps go. */
  get hasReadyTasks(): boolean {
    const [ready] = this.index.readyTasks();
    return ready !== undefined;
  }

  /** Counts the running tasks of a step on one worker. */
  countRunningOn(workerId: string, step: number): number {
    let count = 0;
    for (const {state} of this.index.findStep(step)?.running ?? []) {
      if (state.kind === 'running' && state.run.workerId === workerId)
        count += 1;
    }
    return count;
  }
}

/** Computes when a job should end whose longest chain of tasks takes `chainMs`. */
export function computeDueTimes(
  {arrivedAt, deadlineAt, stretch, targetMs}: Job,
  chainMs: Millis,
): Pick<DueTimes, 'dueAt' | 'usefulUntil'> {
  const objectiveMs = stretch * chainMs + targetMs;
  const usefulMs = USEFUL_OBJECTIVE_FACTOR * objectiveMs;
  return {
    dueAt: Math.min(arrivedAt + objectiveMs, deadlineAt),
    usefulUntil: Math.min(arrivedAt + usefulMs, deadlineAt),
  };
}
