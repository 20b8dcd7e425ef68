/** The fraction of time in which no task waited, with exponential decay. */
import type {Millis} from '@goldcrestpier/runtime';

/** Time constant of the exponential decay. */
const DECAY_MS = 5_000;

/** Measures the fraction of time in which no task waits. */
export class IdleShare {
  private updatedAt: Millis | undefined;
  private wasIdle = true;
  private idle = 1;

  /** The current fraction, from 0 to 1. */
  get share(): number {
    return this.idle;
  }

  /** Records whether the queue is empty from now on. */
  record(isIdle: boolean, now: Millis): void {
    const elapsed = Math.max(now - (this.updatedAt ?? now), 0);
    const decay = Math.exp(-elapsed / DECAY_MS);
    this.idle = this.idle * decay + (this.wasIdle ? 1 - decay : 0);
    this.updatedAt = now;
    this.wasIdle = isIdle;
  }
}
