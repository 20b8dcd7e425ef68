/** A job that the dispatcher works on, and the state of each of its tasks. */
import type {Millis} from '@goldcrestpier/runtime';
import {
  formatTaskName,
  type Job,
  type LentTask,
  type Outcome,
  type Step,
  type TaskName,
} from '../work/index.js';
import type {Due} from '../placement/index.js';
import type {Run} from '../workers/index.js';

/** Up to this multiple of its objective an answer is of use, if late. */
const USEFUL_OBJECTIVES = 3;

/** What is known of one task. */
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
  /** The worker on which a run was stopped, as it seemed to stand still. */
  stalledOn: string | undefined;
}

/** Worth, 0 to 1, that a plan would bring, and the least for it to be taken. */
export interface PlannedWorth {
  readonly worth: number;
  readonly leastWorth: number;
}

/** A job with its tasks. */
export class JobRecord {
  readonly tasks: readonly TaskRecord[];
  /** By when the job should end. */
  readonly dueAt: Millis;
  /** After this an answer is of no use. */
  readonly usefulUntil: Millis;
  /** Whether an order to start any of its tasks was ever sent. */
  hasStarted = false;
  /** What its last plan would bring, and had to; undefined before the first. */
  planned: PlannedWorth | undefined;
  /** How it ends once nothing of it runs any more. */
  ending: Outcome | undefined;
  /** An earlier holder had it. */
  isResumed = false;
  /** Runs of an earlier holder may go on that are not known here. */
  mayRunUnseen = false;

  /** `expectedMs` is the ideal run time of the whole job. */
  constructor(
    readonly job: Job,
    readonly expectedMs: Millis,
    lastRun: number,
  ) {
    this.tasks = createTasks(job, lastRun);
    const {dueAt, usefulUntil} = findDue(job, expectedMs);
    this.dueAt = dueAt;
    this.usefulUntil = usefulUntil;
  }

  /** Tells the record apart from all others of its holder. */
  get id(): string {
    return this.job.id;
  }

  /** Whether it is a single task that another zone lends. */
  get isForeign(): boolean {
    return this.job.lent !== undefined;
  }

  /** The task of that name. */
  findTask(key: string): TaskRecord | undefined {
    return this.tasks.find(task => task.key === key);
  }

  /** The latest time at which it can start and still end when due. */
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

  /** Whether any task is not running and not done. */
  get hasWaiting(): boolean {
    return this.tasks.some(({state}) => state.kind === 'waiting');
  }

  /** Runs that may still go on. */
  *runs(): Iterable<Run> {
    for (const {state} of this.tasks) {
      if (state.kind === 'running') yield state.run;
    }
  }

  /** Tasks that wait and whose earlier steps are done. */
  *ready(): Iterable<TaskRecord> {
    for (const task of this.tasks) {
      if (task.state.kind === 'waiting' && this.isTurnOf(task)) yield task;
    }
  }

  /** Tasks of the same step on one worker. */
  countOn(workerId: string, step: number): number {
    let count = 0;
    for (const {name, state} of this.tasks) {
      if (state.kind !== 'running' || name.step !== step) continue;
      if (state.run.workerId === workerId) count += 1;
    }
    return count;
  }

  private isTurnOf({step}: TaskRecord): boolean {
    return step.after.every(index =>
      this.tasks.every(
        ({name, state}) => name.step !== index || state.kind === 'done',
      ),
    );
  }
}

/** When a job with this ideal run time should end. */
export function findDue(job: Job, expectedMs: Millis): Due {
  const objectiveMs = job.stretch * expectedMs + job.targetMs;
  const usefulMs = USEFUL_OBJECTIVES * objectiveMs;
  return {
    dueAt: Math.min(job.arrivedAt + objectiveMs, job.deadlineAt),
    usefulUntil: Math.min(job.arrivedAt + usefulMs, job.deadlineAt),
  };
}

function createTasks(job: Job, lastRun: number): TaskRecord[] {
  const {lent} = job;
  if (lent !== undefined) return createLentTask(job, lent);
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
        stalledOn: undefined,
      });
    }
  }
  return tasks;
}

function createLentTask(job: Job, {name, run}: LentTask): TaskRecord[] {
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
      stalledOn: undefined,
    },
  ];
}
