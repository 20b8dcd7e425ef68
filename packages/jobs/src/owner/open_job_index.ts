/** Index of the jobs and tasks that have not ended. */
import {
  formatJobId,
  formatTaskId,
  type PlacementTask,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from '../record/index.js';

interface TaskLocation {
  readonly job: JobRecord;
  readonly index: number;
}

/** Maps the id of each open task to its job. */
export class OpenJobIndex {
  private readonly tasks = new Map<string, TaskLocation>();
  private readonly jobs = new Set<JobRecord>();

  /** Number of jobs that have not ended. */
  get jobCount(): number {
    return this.jobs.size;
  }

  /** Adds a job and its tasks. */
  addJob(job: JobRecord, tasks: readonly PlacementTask[]): void {
    this.jobs.add(job);
    for (const {id, index} of tasks) this.tasks.set(id, {job, index});
  }

  /** Removes a job whose tasks could not be enqueued. */
  removeJob(job: JobRecord, tasks: readonly PlacementTask[]): void {
    this.jobs.delete(job);
    for (const {id} of tasks) this.tasks.delete(id);
  }

  /** Records that a task was sent to a backend server. */
  startTask(id: string): void {
    const location = this.tasks.get(id);
    location?.job.startTask(location.index);
  }

  /** Ends one task. Returns its job if this was the last open task. */
  endTask(
    id: string,
    outcome: TaskOutcome,
    now: Millis,
  ): JobRecord | undefined {
    const location = this.tasks.get(id);
    if (location === undefined) return undefined;
    this.tasks.delete(id);
    location.job.endTask(location.index, outcome, now);
    return this.removeIfEnded(location.job);
  }

  /** Ends a job immediately; later outcomes of its tasks are ignored. */
  cancelJob(job: JobRecord, now: Millis): JobRecord | undefined {
    for (const id of listOpenTaskIds(job)) this.tasks.delete(id);
    job.cancelOpenTasks(now);
    return this.removeIfEnded(job);
  }

  private removeIfEnded(job: JobRecord): JobRecord | undefined {
    if (job.endedAt === undefined || !this.jobs.delete(job)) return undefined;
    return job;
  }
}

/** Lists the ids of a job's tasks that have not ended. */
export function listOpenTaskIds(job: JobRecord): string[] {
  const jobId = formatJobId(job.header.session, job.header.key);
  return job.listOpenTasks().map(index => formatTaskId(jobId, index));
}
