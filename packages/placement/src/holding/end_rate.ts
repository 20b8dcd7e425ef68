/** How often held servers end a task, and how long their tasks run. */
import type {Millis} from '@goldcrestpier/runtime';

const FADE_MS = 5_000;
const RUNS_WINDOW = 200;
/** Before this much time the rate says too little. */
const LEAST_MEASURED_MS = 200;

/** A fading rate of ends. */
export class EndRate {
  private ends = 0;
  private measuredMs = 0;
  private seenAt: Millis | undefined;
  private runs = 0;
  private meanMs = 0;

  /** Counts one end. */
  record(runMs: Millis | undefined, now: Millis): void {
    this.fade(now);
    this.ends += 1;
    if (runMs === undefined) return;
    this.runs = Math.min(this.runs + 1, RUNS_WINDOW);
    this.meanMs += (runMs - this.meanMs) / this.runs;
  }

  /** Ends per millisecond; undefined while too little was seen. */
  perMs(now: Millis): number | undefined {
    this.fade(now);
    if (this.measuredMs < LEAST_MEASURED_MS) return undefined;
    return this.ends / this.measuredMs;
  }

  /** The mean run time; undefined while nothing ended. */
  get meanRunMs(): Millis | undefined {
    return this.runs > 0 ? this.meanMs : undefined;
  }

  private fade(now: Millis): void {
    const elapsed = Math.max(now - (this.seenAt ?? now), 0);
    this.seenAt = now;
    if (elapsed === 0) return;
    const kept = Math.exp(-elapsed / FADE_MS);
    this.ends *= kept;
    this.measuredMs = this.measuredMs * kept + FADE_MS * (1 - kept);
  }
}
