/** The jobs and tasks that have not ended. */
import {
  formatJob,
  formatTask,
  type PlacedTask,
  type TaskOutcome,
} from '@goldcrestpier/protocol';
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from '../record/index.js';

interface TaskPlace {
  readonly job: JobRecord;
  readonly index: number;
}

/** Finds a task's job by the task's id, until the task ends. */
export class OpenWork {
  private readonly tasks = new Map<string, TaskPlace>();
  private readonly jobs = new Set<JobRecord>();

  /** How many jobs have not ended. */
  get jobCount(): number {
    return this.jobs.size;
  }

  /** Takes up a job with its tasks. */
  remember(job: JobRecord, tasks: readonly PlacedTask[]): void {
    this.jobs.add(job);
    for (const {id, index} of tasks) this.tasks.set(id, {job, index});
  }

  /** Drops a job that was refused after all. */
  forget(job: JobRecord, tasks: readonly PlacedTask[]): void {
    this.jobs.delete(job);
    for (const {id} of tasks) this.tasks.delete(id);
  }

  /** Notes that a task was sent to a backend server. */
  startTask(id: string): void {
    const place = this.tasks.get(id);
    place?.job.startTask(place.index);
  }

  /** Ends one task; the job when it was the last one to end, else undefined. */
  endTask(
    id: string,
    outcome: TaskOutcome,
    now: Millis,
  ): JobRecord | undefined {
    const place = this.tasks.get(id);
    if (place === undefined) return undefined;
    this.tasks.delete(id);
    place.job.endTask(place.index, outcome, now);
    return this.takeEnded(place.job);
  }

  /** Ends a job at once; its tasks' later ends no longer count. */
  cancelJob(job: JobRecord, now: Millis): JobRecord | undefined {
    for (const id of listOpenTaskIds(job)) this.tasks.delete(id);
    job.cancelOpenTasks(now);
    return this.takeEnded(job);
  }

  private takeEnded(job: JobRecord): JobRecord | undefined {
    if (job.endedAt === undefined || !this.jobs.delete(job)) return undefined;
    return job;
  }
}

/** Ids of a job's tasks that have not ended. */
export function listOpenTaskIds(job: JobRecord): string[] {
  const name = formatJob(job.header.session, job.header.key);
  return job.listOpenTasks().map(index => formatTask(name, index));
}
