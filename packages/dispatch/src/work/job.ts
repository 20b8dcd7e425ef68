/** Jobs as they are submitted to the holder of a zone. */
import type {Millis} from '@goldcrestpier/runtime';

/** Resources that a task needs or that a worker has. */
export interface Resources {
  /** Thousandths of a processor. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Tasks of one kind; a step may wait for earlier steps. */
export interface Step {
  /** How many tasks the step has. */
  readonly tasks: number;
  readonly need: Resources;
  /** Declared run time of one task in ms, which is a rough estimate. */
  readonly estimateMs: Millis;
  /** Indexes of the steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** A label that the worker must have. */
  readonly requiredLabel?: string | undefined;
  /** The rack that has the step's data; the tasks are slower elsewhere. */
  readonly dataRack?: string | undefined;
  /** Maximum number of the step's tasks on one worker at the same time. */
  readonly maxPerWorker?: number | undefined;
}

/** A job. Its caller gets one answer when it ends; it is not stored. */
export interface Job {
  readonly id: string;
  /** The queue to which the job was submitted. */
  readonly queue: string;
  /** The service whose workers run the job. */
  readonly service: string;
  /** Lower values are placed first; 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs of one task after which the job fails. */
  readonly maxAttempts: number;
  /** The objective is `stretch` times the ideal run time plus `targetMs`. */
  readonly stretch: number;
  readonly targetMs: Millis;
  /** Passed unchanged to each task. */
  readonly payload: string;
  readonly steps: readonly Step[];
  readonly arrivedAt: Millis;
  /** When the caller stops waiting. */
  readonly deadlineAt: Millis;
  /** Set if it is a single task that another zone delegates to this one. */
  readonly delegated?: DelegatedTask | undefined;
  /** The zone that delegates it. */
  readonly delegatedBy?: string | undefined;
}

/** Returns the time of the longest chain of steps, in ms. */
export function findLongestChain(
  steps: readonly Step[],
  predict: (step: Step, index: number) => Millis,
): Millis {
  const ends: Millis[] = [];
  for (const [own, step] of steps.entries()) {
    const before = step.after.map(index => ends[index] ?? 0);
    ends.push(findLatest(before) + predict(step, own));
  }
  return findLatest(ends);
}

/** Finds the latest of any number of times; 0 if there is none. */
function findLatest(times: readonly Millis[]): Millis {
  return times.reduce((latest, time) => Math.max(latest, time), 0);
}

/** One task that the holder of another zone delegates to this one. */
export interface DelegatedTask {
  readonly name: TaskName;
  /** The run number. */
  readonly run: number;
}

/** Identifies one task by its job, its step and its index in the step. */
export interface TaskName {
  readonly jobId: string;
  readonly step: number;
  readonly index: number;
}

/** Formats the name of a task as text, for use as a key. */
export function formatTaskName({jobId, step, index}: TaskName): string {
  return `${jobId}.0.${step}.${index}`;
}

/** Parses a text from `formatTaskName`; undefined for any other text. */
export function parseTaskName(text: string): TaskName | undefined {
  const [jobId, occurrence, step, index, ...rest] = text.split('.');
  if (jobId === undefined || occurrence !== '0' || rest.length > 0) {
    return undefined;
  }
  const name = {jobId, step: Number(step), index: Number(index)};
  const isWhole = Number.isInteger(name.step) && Number.isInteger(name.index);
  return isWhole ? name : undefined;
}
