/**
 * Measures how fast a queue drains. Only time with a backlog counts: without
 * one, the queue drains at the arrival rate, which may be far below capacity.
 */
import type {Millis} from '@goldcrestpier/runtime';

/**
 * Time constant of the exponential decay of past measurements. It limits how
 * long a low rate causes refusals after the queue has recovered.
 */
const TIME_CONSTANT_MS = 3_000;
/** Minimum backlog time before a rate is reported. */
const MIN_BACKLOG_MS = 250;
/** Minimum number of starts of which a rate is reported. */
const MIN_STARTS = 10;
const MS_PER_SECOND = 1_000;

/** Measures task starts per second over the time with a backlog. */
export class DrainRate {
  private starts = 0;
  private backlogMs = 0;
  /**
   * Starts that support the rate. Decays only without a backlog, as a queue that
   * stops draining has a rate, and one that begins to drain has none yet.
   */
  private supportingStarts = 0;
  private hasBacklog = false;
  private updatedAt: Millis | undefined;

  /** Records `starts` since the last call and whether tasks are waiting now. */
  record(starts: number, hasBacklog: boolean, now: Millis): void {
    this.advance(now);
    // A start that emptied the queue still belongs to the preceding backlog.
    if (this.hasBacklog) {
      this.starts += starts;
      this.supportingStarts += starts;
    }
    this.hasBacklog = hasBacklog;
  }

  /** Starts per second; undefined without enough measurements. */
  getStartsPerSecond(now: Millis): number | undefined {
    this.advance(now);
    if (!this.hasEnoughMeasurements()) return undefined;
    return (this.starts * MS_PER_SECOND) / this.backlogMs;
  }

  /**
   * Time until the measurements are too old to be reported if there is no
   * backlog until then, in ms.
   */
  getTimeToExpiry(now: Millis): Millis {
    this.advance(now);
    if (!this.hasEnoughMeasurements()) return 0;
    const excess = Math.min(
      this.backlogMs / MIN_BACKLOG_MS,
      this.supportingStarts / MIN_STARTS,
    );
    return TIME_CONSTANT_MS * Math.log(excess);
  }

  private hasEnoughMeasurements(): boolean {
    if (this.backlogMs < MIN_BACKLOG_MS) return false;
    return this.supportingStarts >= MIN_STARTS;
  }

  private advance(now: Millis): void {
    const elapsed = Math.max(now - (this.updatedAt ?? now), 0);
    this.updatedAt = now;
    if (elapsed === 0) return;
    const factor = Math.exp(-elapsed / TIME_CONSTANT_MS);
    this.starts *= factor;
    this.backlogMs *= factor;
    if (this.hasBacklog) this.backlogMs += TIME_CONSTANT_MS * (1 - factor);
    else this.supportingStarts *= factor;
  }
}
