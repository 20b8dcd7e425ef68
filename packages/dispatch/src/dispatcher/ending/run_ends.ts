/**
 * Tells whether any run is to be stopped, or may have ended by a known time. Few
 * runs are, so that the others needn't be looked through in each tick.
 */
import type {Millis} from '@goldcrestpier/runtime';
import {RunPhase, type Run} from '../../workers/index.js';

/** What is known of the ends of all runs together. */
export class RunEnds {
  /** Whether any run may be one that is to be stopped. */
  mayHaveStops = false;
  /** The earliest of the times by which runs have certainly ended. */
  private earliest: Millis = Infinity;

  /** Marks a run to be stopped. */
  stop(run: Run): void {
    run.phase = RunPhase.Stopping;
    this.mayHaveStops = true;
  }

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
