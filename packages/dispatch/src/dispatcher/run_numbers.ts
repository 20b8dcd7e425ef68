/** Run numbers of ended jobs: a job that is sent again goes on with them. */
import type {Millis} from '@goldcrestpier/runtime';
import type {JobRecord} from './job_record.js';

/** How long the numbers of an ended job are remembered, in ms. */
const REMEMBER_MS = 20_000;

interface RememberedRun {
  readonly lastRun: number;
  /** Runs of an earlier holder might go on when the job ended. */
  readonly mayRunUnseen: boolean;
  readonly until: Millis;
}

/** Remembers the highest run number of each job that ended of late. */
export class RunNumbers {
  private readonly remembered = new Map<string, RememberedRun>();

  /** The highest number that the job has used; 0 for a new one. */
  lastOf(jobId: string): number {
    return this.remembered.get(jobId)?.lastRun ?? 0;
  }

  /** Whether runs of the job may go on that are not known here. */
  mayRunUnseen(jobId: string): boolean {
    return this.remembered.get(jobId)?.mayRunUnseen ?? false;
  }

  /** Notes the numbers of a job that has ended. */
  remember({id, tasks, mayRunUnseen}: JobRecord, now: Millis): void {
    let lastRun = 0;
    for (const task of tasks) lastRun = Math.max(lastRun, task.lastRun);
    this.remembered.delete(id);
    if (lastRun === 0 && !mayRunUnseen) return;
    const until = now + REMEMBER_MS;
    this.remembered.set(id, {lastRun, mayRunUnseen, until});
  }

  /** Forgets what is old; the oldest stand first. */
  forgetOld(now: Millis): void {
    for (const [id, {until}] of this.remembered) {
      if (until > now) return;
      this.remembered.delete(id);
    }
  }
}
