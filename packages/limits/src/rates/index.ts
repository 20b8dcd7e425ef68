/**
 * How fast a backlog drains. Only time with a backlog counts: an idle queue
 * drains as slowly as work arrives, which says nothing of what it could do.
 */
import type {Millis} from '@goldcrestpier/runtime';

/**
 * Older measurements fade with this time constant, so that a rate measured in
 * a bad time refuses nobody for long after it.
 */
const FADE_MS = 3_000;
/** Less backlogged time than this says too little. */
const LEAST_MEASURED_MS = 250;
const MS_PER_SECOND = 1_000;

/** Measures starts per second over the time in which tasks waited. */
export class DrainRate {
  private starts = 0;
  private backloggedMs = 0;
  private backlogged = false;
  private seenAt: Millis | undefined;

  /** Tells of `starts` since the last call, and whether tasks still wait. */
  record(starts: number, backlogged: boolean, now: Millis): void {
    this.advance(now);
    // A start that emptied the queue still belongs to the backlog before it.
    if (this.backlogged) this.starts += starts;
    this.backlogged = backlogged;
  }

  /** Starts per second; undefined while too little was measured. */
  perSecond(now: Millis): number | undefined {
    this.advance(now);
    if (this.backloggedMs < LEAST_MEASURED_MS) return undefined;
    // The first start may be late; no rate, not one of zero, follows from that.
    if (this.starts === 0) return undefined;
    return (this.starts * MS_PER_SECOND) / this.backloggedMs;
  }

  private advance(now: Millis): void {
    const elapsed = Math.max(now - (this.seenAt ?? now), 0);
    this.seenAt = now;
    if (elapsed === 0) return;
    const kept = Math.exp(-elapsed / FADE_MS);
    this.starts *= kept;
    this.backloggedMs *= kept;
    if (this.backlogged) this.backloggedMs += FADE_MS * (1 - kept);
  }
}
