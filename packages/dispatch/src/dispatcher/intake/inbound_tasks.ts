/** Tasks that other zones have delegated to this one, by their jobs. */
import type {JobRecord} from '../jobs/index.js';

/** Index of the delegated tasks, by the ID of the job in the other zone. */
export class InboundTasks {
  private readonly byJob = new Map<string, Set<JobRecord>>();

  /** Adds a record, if it is a task of another zone's job. */
  add(record: JobRecord): void {
    const jobId = record.job.delegated?.name.jobId;
    if (jobId === undefined) return;
    const records = this.byJob.get(jobId) ?? new Set();
    records.add(record);
    this.byJob.set(jobId, records);
  }

  /** Removes a record that has ended. */
  remove(record: JobRecord): void {
    const jobId = record.job.delegated?.name.jobId;
    if (jobId === undefined) return;
    const records = this.byJob.get(jobId);
    records?.delete(record);
    if (records?.size === 0) this.byJob.delete(jobId);
  }

  /** Whether any task of the job has not ended here. */
  has(jobId: string): boolean {
    return this.byJob.has(jobId);
  }

  /** Returns the tasks of a job that have not ended here. */
  listTasks(jobId: string): readonly JobRecord[] {
    return [...(this.byJob.get(jobId) ?? [])];
  }
}
