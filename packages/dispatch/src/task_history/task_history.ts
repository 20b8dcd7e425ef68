/**
 * What an instance knows of tasks beyond the end of their jobs and of a holder:
 * crashes under them, and start commands that may be executed late. Instances
 * exchange it, as a job may be submitted again to any of them.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {CrashHistory, type CrashReport} from '../crashes/index.js';
import {
  UnansweredStarts,
  type UnansweredStart,
} from '../unanswered_starts/index.js';

/** A part of the history as told to a peer; empty lists are left out. */
export interface TaskHistoryReport {
  readonly crashes?: readonly CrashReport[] | undefined;
  readonly unansweredStarts?: readonly UnansweredStart[] | undefined;
}

/** The history of tasks that one instance knows. */
export class TaskHistory {
  readonly crashes = new CrashHistory();
  readonly unansweredStarts = new UnansweredStarts();

  /** Changes whenever peers have to be told of something new. */
  get revision(): number {
    return this.crashes.revision + this.unansweredStarts.revision;
  }

  /** Adds what a peer reported. */
  merge(report: TaskHistoryReport, now: Millis): void {
    this.crashes.merge(report.crashes ?? [], now);
    this.unansweredStarts.merge(report.unansweredStarts ?? [], now);
  }

  /** Reports what is known of a job's tasks. */
  reportJob(jobId: string, now: Millis): TaskHistoryReport {
    return createReport(
      this.crashes.reportJob(jobId, now),
      this.unansweredStarts.reportJob(jobId, now),
    );
  }

  /** Reports what has become known recently. */
  reportRecent(now: Millis): TaskHistoryReport {
    return createReport(
      this.crashes.reportRecent(now),
      this.unansweredStarts.reportRecent(now),
    );
  }

  /** Reports all that is known. */
  reportAll(now: Millis): TaskHistoryReport {
    return createReport(
      this.crashes.reportAll(now),
      this.unansweredStarts.reportAll(now),
    );
  }

  /** Forgets what is out of date. */
  removeExpired(now: Millis): void {
    this.crashes.removeExpired(now);
    this.unansweredStarts.removeExpired(now);
  }
}

function createReport(
  crashes: readonly CrashReport[] | undefined,
  unansweredStarts: readonly UnansweredStart[] | undefined,
): TaskHistoryReport {
  return {
    ...(crashes === undefined ? {} : {crashes}),
    ...(unansweredStarts === undefined ? {} : {unansweredStarts}),
  };
}
