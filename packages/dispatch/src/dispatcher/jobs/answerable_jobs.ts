/**
 * Finds jobs that have been given up and of which nothing is left but start
 * commands that may be executed late. Their callers are answered, while their
 * records stay until a late start is excluded. Zones that delegated a task learn
 * of its end only then.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';
import type {Registry} from '../registry.js';
import type {EndedJob} from './ended_job.js';

/** Reports each such job once. */
export class AnswerableJobs {
  private readonly reported = new WeakSet<JobRecord>();
  private answerable: EndedJob[] = [];

  constructor(private readonly registry: Registry) {}

  /** Returns the jobs that have become answerable since the last call. */
  take(): EndedJob[] {
    const {answerable} = this;
    this.answerable = [];
    return answerable;
  }

  /** Adds those of `records` that have become answerable. */
  update(records: Iterable<JobRecord>, now: Millis): void {
    for (const record of records) {
      if (record.pendingOutcome === undefined || record.isInbound) continue;
      if (this.reported.has(record)) continue;
      if (this.areLeasesOver(record, now)) this.report(record);
    }
  }

  /** Whether all leases on the workers of its runs are over. */
  private areLeasesOver(record: JobRecord, now: Millis): boolean {
    const {workers, soleHolder} = this.registry;
    const runs = [...record.runs()];
    if (runs.length === 0) return true;
    if (soleHolder.mayBeExtended(record.job.deadlineAt, now)) return false;
    return runs.every(
      ({workerId}) => workers.get(workerId)?.areLeasesOver(now) === true,
    );
  }

  private report(record: JobRecord): void {
    const {id, job, pendingOutcome: outcome, hasStarted} = record;
    if (outcome === undefined) return;
    this.reported.add(record);
    this.answerable.push({id, queue: job.queue, outcome, hasStarted});
  }
}
