/** Completion rate and mean run time of the tasks on held servers. */
import type {Millis} from '@goldcrestpier/runtime';

/** Time constant of the exponential decay. */
const DECAY_MS = 5_000;
/** Number of recent runs that determine the mean run time. */
const RUNS_WINDOW = 200;
/** Measured time below which the rate is not reliable. */
const MIN_MEASURED_MS = 200;

/** An exponentially decaying completion rate. */
export class CompletionRate {
  private completions = 0;
  private measuredMs = 0;
  private updatedAt: Millis | undefined;
  private runs = 0;
  private meanMs = 0;

  /** Counts one completion; `runMs` is undefined if it was not measured. */
  record(runMs: Millis | undefined, now: Millis): void {
    this.applyDecay(now);
    this.completions += 1;
    if (runMs === undefined) return;
    this.runs = Math.min(this.runs + 1, RUNS_WINDOW);
    this.meanMs += (runMs - this.meanMs) / this.runs;
  }

  /** Completions per millisecond; undefined until enough time was measured. */
  perMs(now: Millis): number | undefined {
    this.applyDecay(now);
    if (this.measuredMs < MIN_MEASURED_MS) return undefined;
    return this.completions / this.measuredMs;
  }

  /** The mean run time; undefined before the first completion. */
  get meanRunMs(): Millis | undefined {
    return this.runs > 0 ? this.meanMs : undefined;
  }

  private applyDecay(now: Millis): void {
    const elapsed = Math.max(now - (this.updatedAt ?? now), 0);
    this.updatedAt = now;
    if (elapsed === 0) return;
    const decay = Math.exp(-elapsed / DECAY_MS);
    this.completions *= decay;
    this.measuredMs = this.measuredMs * decay + DECAY_MS * (1 - decay);
  }
}
