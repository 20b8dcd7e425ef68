/** Enforces the deadlines of tasks with a single timer. */
import {Heap} from '@goldcrestpier/limits';
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import type {TaskRecord} from './task_record.js';

/** Maximum delay of a Node.js timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Tracks the deadlines of unfinished tasks. */
export class Deadlines {
  private readonly heap = new Heap<TaskRecord>();
  private timer: NodeJS.Timeout | undefined;
  private timerAt: Millis = Infinity;

  constructor(
    lifecycle: Lifecycle,
    private readonly onExpired: (record: TaskRecord, now: Millis) => void,
  ) {
    lifecycle.own('deadlines', () => clearTimeout(this.timer));
  }

  /** Adds a task, whose deadline is enforced from now on. */
  add(record: TaskRecord, now: Millis): void {
    record.deadline = this.heap.push(record, record.task.deadlineAt);
    this.arm(now);
  }

  /** Removes a task that ended. */
  remove(record: TaskRecord): void {
    if (record.deadline !== undefined) this.heap.remove(record.deadline);
    record.deadline = undefined;
  }

  private arm(now: Millis): void {
    const next = this.heap.peek()?.priority ?? Infinity;
    if (next >= this.timerAt) return;
    clearTimeout(this.timer);
    this.timerAt = next;
    const delayMs = Math.min(Math.max(next - now, 0), MAX_TIMER_MS);
    this.timer = setTimeout(() => this.fire(readClock()), delayMs);
  }

  private fire(now: Millis): void {
    this.timerAt = Infinity;
    for (;;) {
      const first = this.heap.peek();
      if (first === undefined || first.priority > now) break;
      this.heap.pop();
      first.item.deadline = undefined;
      this.onExpired(first.item, now);
    }
    this.arm(now);
  }
}
