/**
 * Delays that keep order. All lines of a process share one clockwork: timers
 * of whole milliseconds are too coarse for a trip of half a millisecond, so
 * close to its end it naps in short steps instead.
 */
import {readClock} from '@goldcrestpier/runtime';

const NAP_MS = 0.05;
/** What a nap takes with the scheduler's share. */
const NAP_AT_MOST_MS = 0.2;
/** Below this, a timer would wake too late. */
const COARSE_MS = 2;

interface Delayed {
  readonly dueAt: number;
  readonly deliver: () => void;
}

/** One direction of one connection. */
export class DelayLine {
  private readonly waiting: Delayed[] = [];

  /** Calls `deliver` after `delayMs`, and never before an earlier one. */
  push(delayMs: number, deliver: () => void): void {
    if (delayMs <= 0 && this.waiting.length === 0) {
      deliver();
      return;
    }
    this.waiting.push({dueAt: readClock() + delayMs, deliver});
    clockwork.add(this);
  }

  /** Delivers what is due; gives the time of the next, if any. */
  deliverDue(now: number): number | undefined {
    let due = 0;
    while ((this.waiting[due]?.dueAt ?? Infinity) <= now) due += 1;
    for (const {deliver} of this.waiting.splice(0, due)) deliver();
    return this.waiting[0]?.dueAt;
  }

  /** Forgets what waits. */
  clear(): void {
    this.waiting.length = 0;
  }
}

class Clockwork {
  private readonly lines = new Set<DelayLine>();
  private readonly cell = new Int32Array(new SharedArrayBuffer(4));
  private isWound = false;

  add(line: DelayLine): void {
    this.lines.add(line);
    if (this.isWound) return;
    this.isWound = true;
    setImmediate(() => this.turn());
  }

  private turn(): void {
    const now = readClock();
    let next = Infinity;
    for (const line of this.lines) {
      const dueAt = line.deliverDue(now);
      if (dueAt === undefined) this.lines.delete(line);
      else next = Math.min(next, dueAt);
    }
    this.isWound = this.lines.size > 0;
    if (this.isWound) this.wind(next - readClock());
  }

  private wind(leftMs: number): void {
    if (leftMs > COARSE_MS) {
      setTimeout(() => this.turn(), 1);
      return;
    }
    // A nap gives the processor away, where turning at once would burn it.
    if (leftMs > NAP_AT_MOST_MS) Atomics.wait(this.cell, 0, 0, NAP_MS);
    setImmediate(() => this.turn());
  }
}

const clockwork = new Clockwork();
