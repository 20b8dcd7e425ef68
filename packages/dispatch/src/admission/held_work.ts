/** Limits the jobs that an instance keeps, in number and in bytes. */
import type {Job} from '../work/index.js';

/** Limits of what a holder keeps; the size in memory is in bytes. */
const HOLDER_LIMITS = {
  jobs: 4_000,
  tasks: 20_000,
  bytes: 32 * 1024 * 1024,
};
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

/** Maximum number of jobs, of their tasks, and of their bytes. */
export interface HeldWorkLimits extends JobSize {
  readonly jobs: number;
}

/** Sums up the jobs that are kept; by default those of a holder. */
export class HeldWork {
  private jobs = 0;
  private tasks = 0;
  private bytes = 0;

  constructor(private readonly limits: HeldWorkLimits = HOLDER_LIMITS) {}

  /** Whether a job may be kept beside the others. */
  hasRoom({tasks, bytes}: JobSize): boolean {
    return (
      this.jobs < this.limits.jobs &&
      this.tasks + tasks <= this.limits.tasks &&
      this.bytes + bytes <= this.limits.bytes
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
