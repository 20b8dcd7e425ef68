/** Run numbers of ended jobs, which continue if a job is submitted again. */
import {ExpiringMap, type Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from '../jobs/index.js';

/** Time for which the numbers of an ended job are retained, in ms. */
const RETENTION_MS = 20_000;

interface RetainedNumbers {
  readonly lastRun: number;
  /** Whether unknown runs of an earlier holder might go on when it ended. */
  readonly mayHaveUnknownRuns: boolean;
}

/** Retains the highest run number of each job that ended recently. */
export class RunNumbers {
  private readonly retained = new ExpiringMap<string, RetainedNumbers>(
    RETENTION_MS,
  );

  /** Returns the highest run number that the job has used; 0 if none. */
  findLast(jobId: string, now: Millis): number {
    return this.retained.get(jobId, now)?.lastRun ?? 0;
  }

  /** Whether runs of the job may go on that are not known here. */
  mayHaveUnknownRuns(jobId: string, now: Millis): boolean {
    return this.retained.get(jobId, now)?.mayHaveUnknownRuns ?? false;
  }

  /** Retains the run numbers of a job that has ended. */
  retain({id, tasks, mayHaveUnknownRuns}: JobRecord, now: Millis): void {
    let lastRun = 0;
    for (const task of tasks) lastRun = Math.max(lastRun, task.lastRun);
    if (lastRun === 0 && !mayHaveUnknownRuns) this.retained.delete(id);
    else this.retained.set(id, {lastRun, mayHaveUnknownRuns}, now);
  }
}
