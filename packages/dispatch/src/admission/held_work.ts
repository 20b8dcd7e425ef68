/** Limits the jobs that a holder keeps, in number and in bytes. */
import type {Job} from '../work/index.js';

/** Maximum number of jobs, and of their tasks. */
const MAX_JOBS = 4_000;
const MAX_TASKS = 20_000;
/** Maximum size of all jobs in memory, in bytes. */
const MAX_BYTES = 32 * 1024 * 1024;
/** Size in memory of a job without its parts, and of each part, in bytes. */
const JOB_BYTES = 1_000;
const TASK_BYTES = 500;
const STEP_BYTES = 500;
const DEPENDENCY_BYTES = 100;
const CHARACTER_BYTES = 2;

/** What a job takes of its holder's memory. */
export interface JobSize {
  readonly tasks: number;
  readonly bytes: number;
}

/** Estimates the size of a job. */
export function measureJob({steps, payload}: Job): JobSize {
  let tasks = 0;
  let bytes = JOB_BYTES + CHARACTER_BYTES * payload.length;
  for (const {tasks: count, after} of steps) {
    tasks += count;
    bytes += STEP_BYTES + DEPENDENCY_BYTES * after.length + TASK_BYTES * count;
  }
  return {tasks, bytes};
}

/** Sums up the jobs that a holder keeps. */
export class HeldWork {
  private jobs = 0;
  private tasks = 0;
  private bytes = 0;

  /** Whether a job may be kept beside the others. */
  hasRoom({tasks, bytes}: JobSize): boolean {
    return (
      this.jobs < MAX_JOBS &&
      this.tasks + tasks <= MAX_TASKS &&
      this.bytes + bytes <= MAX_BYTES
    );
  }

  /** Adds a job that is kept from now on. */
  add({tasks, bytes}: JobSize): void {
    this.jobs += 1;
    this.tasks += tasks;
    this.bytes += bytes;
  }

  /** Removes a job that has ended. */
  remove({tasks, bytes}: JobSize): void {
    this.jobs -= 1;
    this.tasks -= tasks;
    this.bytes -= bytes;
  }
}
