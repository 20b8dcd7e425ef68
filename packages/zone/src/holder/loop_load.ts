/**
 * Whether this process can keep up with what it has to do. Answers more jobs
 * than one holder has processor time for: each turn of the event loop then takes
 * longer than the one before, and everything is late. Jobs that are refused on
 * arrival cost little, so that those which are taken are served in time.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** A step that comes this much late shows a long turn of the event loop, in ms. */
const LATE_MS = 15;
/**
 * So long without any step in time and the process can't keep up, in ms. It is
 * longer than the pauses of a processor of which only a share is granted.
 */
const SWAMPED_AFTER_MS = 120;
/** For so long after it was swamped a process keeps to what it must do, in ms. */
const STRAINED_MS = 1_000;

/** Keeps when a periodic step last came in time. */
export class LoopLoad {
  private dueAt: Millis | undefined;
  private inTimeAt: Millis | undefined;
  private swampedAt: Millis | undefined;

  constructor(private readonly everyMs: Millis) {}

  /** To be called at each step. */
  note(now: Millis): void {
    const lateMs = now - (this.dueAt ?? now);
    if (lateMs < LATE_MS) this.inTimeAt = now;
    this.dueAt = now + this.everyMs;
    if (this.isSwamped(now)) this.swampedAt = now;
  }

  /** Whether no step came in time for a while. */
  isSwamped(now: Millis): boolean {
    if (this.inTimeAt === undefined) return false;
    return now - this.inTimeAt >= SWAMPED_AFTER_MS;
  }

  /** Whether it was swamped a moment ago. */
  isStrained(now: Millis): boolean {
    return this.swampedAt !== undefined && now - this.swampedAt < STRAINED_MS;
  }
}
