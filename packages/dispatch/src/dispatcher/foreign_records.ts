/** Tasks that run here for other zones, by the job that they belong to. */
import type {JobRecord} from './job_record.js';

/** Finds the tasks of a job whose own record is in another zone. */
export class ForeignRecords {
  private readonly byJob = new Map<string, Set<JobRecord>>();

  /** Adds a record, if it is a task of another zone's job. */
  add(record: JobRecord): void {
    const jobId = record.job.lent?.name.jobId;
    if (jobId === undefined) return;
    const records = this.byJob.get(jobId) ?? new Set();
    records.add(record);
    this.byJob.set(jobId, records);
  }

  /** Removes a record that has ended. */
  remove(record: JobRecord): void {
    const jobId = record.job.lent?.name.jobId;
    if (jobId === undefined) return;
    const records = this.byJob.get(jobId);
    records?.delete(record);
    if (records?.size === 0) this.byJob.delete(jobId);
  }

  /** Whether a task of the job has not ended here. */
  has(jobId: string): boolean {
    return this.byJob.has(jobId);
  }

  /** The tasks of a job that have not ended here. */
  of(jobId: string): readonly JobRecord[] {
    return [...(this.byJob.get(jobId) ?? [])];
  }
}
