/** The tasks of a job and their states, as the holder knows them. */
import {
  formatTaskName,
  type DelegatedTask,
  type Job,
  type Step,
  type TaskName,
} from '../../work/index.js';
import type {Run} from '../../workers/index.js';

/** State of a task as the holder knows it. */
export type TaskState =
  | {readonly kind: 'waiting'}
  | {readonly kind: 'running'; readonly run: Run}
  | {readonly kind: 'done'};

/** One task of a job; its job's record changes the state. */
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
  /** Its successful run in this zone; undefined until then, or in another zone. */
  finished: FinishedTask | undefined;
}

/** The run that did a task. */
export interface FinishedTask {
  readonly workerId: string;
  /** Its run time relative to the expected one. */
  readonly ratio: number;
}

/** Creates the tasks of a job, which all wait; `lastRun` is an earlier run. */
export function createTasks(job: Job, lastRun: number): TaskRecord[] {
  const {delegated} = job;
  if (delegated !== undefined) return createDelegatedTask(job, delegated);
  const tasks: TaskRecord[] = [];
  for (const [stepIndex, step] of job.steps.entries()) {
    for (let index = 0; index < step.tasks; index += 1) {
      const name = {jobId: job.id, step: stepIndex, index};
      tasks.push(createTask(name, step, lastRun));
    }
  }
  return tasks;
}

function createDelegatedTask(
  job: Job,
  {name, run}: DelegatedTask,
): TaskRecord[] {
  const [step] = job.steps;
  return step === undefined ? [] : [createTask(name, step, run - 1)];
}

function createTask(name: TaskName, step: Step, lastRun: number): TaskRecord {
  return {
    name,
    key: formatTaskName(name),
    step,
    state: {kind: 'waiting'},
    lastRun,
    failures: 0,
    movedFrom: undefined,
    finished: undefined,
  };
}
