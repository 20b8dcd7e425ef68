/** Run numbers of ended jobs, which continue if a job is submitted again. */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';

/** Time for which the numbers of an ended job are retained, in ms. */
const RETENTION_MS = 20_000;

interface RetainedNumbers {
  readonly lastRun: number;
  /** Whether unknown runs of an earlier holder might go on when it ended. */
  readonly mayHaveUnknownRuns: boolean;
  readonly until: Millis;
}

/** Retains the highest run number of each job that ended recently. */
export class RunNumbers {
  private readonly retained = new Map<string, RetainedNumbers>();

  /** Returns the highest run number that the job has used; 0 if none. */
  findLast(jobId: string): number {
    return this.retained.get(jobId)?.lastRun ?? 0;
  }

  /** Whether runs of the job may go on that are not known here. */
  mayHaveUnknownRuns(jobId: string): boolean {
    return this.retained.get(jobId)?.mayHaveUnknownRuns ?? false;
  }

  /** Retains the run numbers of a job that has ended. */
  retain({id, tasks, mayHaveUnknownRuns}: JobRecord, now: Millis): void {
    let lastRun = 0;
    for (const task of tasks) lastRun = Math.max(lastRun, task.lastRun);
    this.retained.delete(id);
    if (lastRun === 0 && !mayHaveUnknownRuns) return;
    const until = now + RETENTION_MS;
    this.retained.set(id, {lastRun, mayHaveUnknownRuns, until});
  }

  /** Removes entries whose time has passed; the oldest come first. */
  removeExpired(now: Millis): void {
    for (const [id, {until}] of this.retained) {
      if (until > now) return;
      this.retained.delete(id);
    }
  }
}
