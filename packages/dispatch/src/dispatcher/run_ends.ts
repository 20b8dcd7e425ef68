/**
 * Runs that end by a known time. Few runs have one, so that the others needn't
 * be looked through whenever the dispatcher checks its timeouts.
 */
import type {Millis} from '@goldcrestpier/runtime';
import type {Run} from '../workers/index.js';

/** The earliest of the times by which runs have certainly ended. */
export class RunEnds {
  private earliest: Millis = Infinity;

  /** Sets the time by which a run has certainly ended. */
  bound(run: Run, latestEndAt: Millis): void {
    run.latestEndAt = latestEndAt;
    this.earliest = Math.min(this.earliest, latestEndAt);
  }

  /** Whether the time of any run may have come. */
  isAnyDue(now: Millis): boolean {
    return now >= this.earliest;
  }

  /** Finds the earliest time anew among the runs that are left. */
  update(runs: Iterable<Run>): void {
    this.earliest = Infinity;
    for (const {latestEndAt} of runs)
      this.earliest = Math.min(this.earliest, latestEndAt);
  }
}
