/**
 * Queues that delay deliveries and keep their order. All queues of a process
 * share one scheduler. Timers have a resolution of 1 ms, too coarse for a
 * network delay of half a millisecond, so close to the next delivery the
 * scheduler sleeps in short steps instead.
 */
import {readClock} from '@goldcrestpier/runtime';

const SLEEP_MS = 0.05;
/** Upper bound of an actual sleep: `SLEEP_MS` and the OS wake-up latency. */
const MAX_SLEEP_MS = 0.2;
/** With less time left than this, a timer may fire too late. */
const MIN_TIMER_DELAY_MS = 2;

interface DelayedDelivery {
  readonly dueAt: number;
  readonly deliver: () => void;
}

/** Delays the data of one direction of a connection. */
export class DelayQueue {
  private readonly pending: DelayedDelivery[] = [];

  /** Calls `deliver` after `delayMs`, but not before earlier entries. */
  push(delayMs: number, deliver: () => void): void {
    if (delayMs <= 0 && this.pending.length === 0) {
      deliver();
      return;
    }
    this.pending.push({dueAt: readClock() + delayMs, deliver});
    scheduler.add(this);
  }

  /** Delivers what is due; returns the due time of the next, if any. */
  deliverDue(now: number): number | undefined {
    let dueCount = 0;
    while ((this.pending[dueCount]?.dueAt ?? Infinity) <= now) dueCount += 1;
    for (const {deliver} of this.pending.splice(0, dueCount)) deliver();
    return this.pending[0]?.dueAt;
  }

  /** Drops all pending deliveries. */
  clear(): void {
    this.pending.length = 0;
  }
}

class DeliveryScheduler {
  private readonly queues = new Set<DelayQueue>();
  private readonly sleepCell = new Int32Array(new SharedArrayBuffer(4));
  private isScheduled = false;

  add(queue: DelayQueue): void {
    this.queues.add(queue);
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.deliverDue());
  }

  private deliverDue(): void {
    const now = readClock();
    let nextDueAt = Infinity;
    for (const queue of this.queues) {
      const dueAt = queue.deliverDue(now);
      if (dueAt === undefined) this.queues.delete(queue);
      else nextDueAt = Math.min(nextDueAt, dueAt);
    }
    this.isScheduled = this.queues.size > 0;
    if (this.isScheduled) this.scheduleNext(nextDueAt - readClock());
  }

  private scheduleNext(remainingMs: number): void {
    if (remainingMs > MIN_TIMER_DELAY_MS) {
      setTimeout(() => this.deliverDue(), 1);
      return;
    }
    // Sleeping yields the processor; a busy loop would use all of it.
    if (remainingMs > MAX_SLEEP_MS)
      Atomics.wait(this.sleepCell, 0, 0, SLEEP_MS);
    setImmediate(() => this.deliverDue());
  }
}

const scheduler = new DeliveryScheduler();
