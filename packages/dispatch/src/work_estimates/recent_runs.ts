/** How long the latest runs on each worker took relative to their predictions. */
import type {Millis} from '@goldcrestpier/runtime';

/** Number of runs that are kept for each worker. */
const MAX_RUNS = 4;
/** Time for which a finished run says something of its worker, in ms. */
const MAX_AGE_MS = 2_000;

/** A finished run. */
interface FinishedRun {
  readonly recordId: string;
  readonly ratio: number;
  readonly at: Millis;
}

/** The latest finished runs of each worker. */
export class RecentRuns {
  private readonly byWorker = new Map<string, FinishedRun[]>();

  /** Adds a run that took `ratio` times as long as expected. */
  add(workerId: string, recordId: string, ratio: number, now: Millis): void {
    const runs = this.byWorker.get(workerId) ?? [];
    runs.push({recordId, ratio, at: now});
    if (runs.length > MAX_RUNS) runs.shift();
    this.byWorker.set(workerId, runs);
  }

  /** Forgets a worker that is gone. */
  forget(workerId: string): void {
    this.byWorker.delete(workerId);
  }

  /** Iterates over the ratios of recent runs of other jobs, with their ends. */
  *list(
    workerId: string,
    recordId: string,
    now: Millis,
  ): Iterable<{readonly ratio: number; readonly at: Millis}> {
    for (const run of this.byWorker.get(workerId) ?? []) {
      if (run.recordId !== recordId && now - run.at <= MAX_AGE_MS) yield run;
    }
  }
}
