/** The share of the time in which nothing waited; older time fades. */
import type {Millis} from '@goldcrestpier/runtime';

const FADE_MS = 5_000;

/** Follows whether anything waits. */
export class IdleShare {
  private seenAt: Millis | undefined;
  private wasIdle = true;
  private idle = 1;

  /** The share, from 0 to 1. */
  get share(): number {
    return this.idle;
  }

  /** Tells whether nothing waits from now on. */
  record(isIdle: boolean, now: Millis): void {
    const elapsed = Math.max(now - (this.seenAt ?? now), 0);
    const kept = Math.exp(-elapsed / FADE_MS);
    this.idle = this.idle * kept + (this.wasIdle ? 1 - kept : 0);
    this.seenAt = now;
    this.wasIdle = isIdle;
  }
}
