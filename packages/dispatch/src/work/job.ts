/** Jobs as the holder of a zone's workers is handed them. */
import type {Millis} from '@goldcrestpier/runtime';

/** What one task takes up on a worker while it runs. */
export interface Need {
  /** Thousandths of a processor. */
  readonly cpuMillis: number;
  readonly memoryMb: number;
  readonly accelerators: number;
}

/** Tasks of one kind; a step may wait for earlier steps. */
export interface Step {
  /** How many tasks the step has. */
  readonly tasks: number;
  readonly need: Need;
  /** Rough run time of one task as declared, in ms. */
  readonly estimateMs: Millis;
  /** Indexes of the steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** A label that the worker must carry. */
  readonly requiredLabel?: string | undefined;
  /** The rack where the step's data is; others are slower. */
  readonly dataRack?: string | undefined;
  /** Most tasks of the step on one worker at once. */
  readonly maxPerWorker?: number | undefined;
}

/** One job that is answered when it has ended and is not kept. */
export interface Job {
  readonly id: string;
  /** The queue that the job came by. */
  readonly queue: string;
  /** The service whose workers run it. */
  readonly service: string;
  /** 0 goes first. */
  readonly priority: number;
  /** Failed runs of one task after which the job has failed. */
  readonly maxAttempts: number;
  /** The objective: `stretch` times the ideal run time, and `targetMs` more. */
  readonly stretch: number;
  readonly targetMs: Millis;
  /** Handed to each task as it is. */
  readonly payload: string;
  readonly steps: readonly Step[];
  readonly arrivedAt: Millis;
  /** When the caller stops waiting. */
  readonly deadlineAt: Millis;
  /** Set where it is a single task that the holder of another zone lends. */
  readonly lent?: LentTask | undefined;
  /** The zone that lends it. */
  readonly lentBy?: string | undefined;
}

/** One task that another zone's holder lends. */
export interface LentTask {
  readonly name: TaskName;
  /** The number of the run. */
  readonly run: number;
}

/** Names one task: the job, the step and its index within the step. */
export interface TaskName {
  readonly jobId: string;
  readonly step: number;
  readonly index: number;
}

/** One text for each task, for use as a key. */
export function formatTaskName({jobId, step, index}: TaskName): string {
  return `${jobId}.0.${step}.${index}`;
}

/** Reads what `formatTaskName` wrote; undefined for anything else. */
export function parseTaskName(text: string): TaskName | undefined {
  const [jobId, occurrence, step, index, ...rest] = text.split('.');
  if (jobId === undefined || occurrence !== '0' || rest.length > 0) {
    return undefined;
  }
  const name = {jobId, step: Number(step), index: Number(index)};
  const isWhole = Number.isInteger(name.step) && Number.isInteger(name.index);
  return isWhole ? name : undefined;
}
