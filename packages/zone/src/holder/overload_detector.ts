/**
 * Detects overload of this process's event loop. With more jobs than one holder
 * has processor time for, each turn of the event loop takes longer than the one
 * before and everything is late. Refusing jobs on arrival costs little, so that
 * accepted jobs are still served in time.
 */
import type {Millis} from '@goldcrestpier/runtime';

/** A tick later than this indicates a long event loop turn, in ms. */
const LATE_TICK_MS = 15;
/**
 * Time without any tick on time after which the process counts as overloaded,
 * in ms. It exceeds the pauses of a process that is throttled to a CPU share.
 */
const OVERLOADED_AFTER_MS = 120;
/** How long after an overload the process avoids optional work, in ms. */
const COOLDOWN_MS = 1_000;

/** Tracks when a periodic tick was last on time. */
export class OverloadDetector {
  private dueAt: Millis | undefined;
  private onTimeAt: Millis | undefined;
  private overloadAt: Millis | undefined;

  constructor(private readonly intervalMs: Millis) {}

  /** Records a tick; to be called at each one. */
  recordTick(now: Millis): void {
    const lateMs = now - (this.dueAt ?? now);
    if (lateMs < LATE_TICK_MS) this.onTimeAt = now;
    this.dueAt = now + this.intervalMs;
    if (this.isOverloaded(now)) this.overloadAt = now;
  }

  /** Whether no tick has been on time for `OVERLOADED_AFTER_MS`. */
  isOverloaded(now: Millis): boolean {
    if (this.onTimeAt === undefined) return false;
    return now - this.onTimeAt >= OVERLOADED_AFTER_MS;
  }

  /** Whether the process was overloaded within the last `COOLDOWN_MS`. */
  wasRecentlyOverloaded(now: Millis): boolean {
    return this.overloadAt !== undefined && now - this.overloadAt < COOLDOWN_MS;
  }
}
