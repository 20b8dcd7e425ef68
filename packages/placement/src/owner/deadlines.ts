/** Ends each task at its deadline, with one timer for all of them. */
import {Heap} from '@goldcrestpier/limits';
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import type {TaskRecord} from './task_record.js';

/** Longest delay that a timer of Node.js takes. */
const LONGEST_TIMER_MS = 2 ** 31 - 1;

/** Watches the deadlines of the tasks that have not ended. */
export class Deadlines {
  private readonly heap = new Heap<TaskRecord>();
  private timer: NodeJS.Timeout | undefined;
  private timerAt: Millis = Infinity;

  constructor(
    lifecycle: Lifecycle,
    private readonly onPassed: (record: TaskRecord, now: Millis) => void,
  ) {
    lifecycle.own('deadlines', () => clearTimeout(this.timer));
  }

  /** Watches a task. */
  add(record: TaskRecord, now: Millis): void {
    record.deadline = this.heap.push(record, record.task.deadlineAt);
    this.arm(now);
  }

  /** Stops watching a task. */
  remove(record: TaskRecord): void {
    if (record.deadline !== undefined) this.heap.remove(record.deadline);
    record.deadline = undefined;
  }

  private arm(now: Millis): void {
    const next = this.heap.peek()?.priority ?? Infinity;
    if (next >= this.timerAt) return;
    clearTimeout(this.timer);
    this.timerAt = next;
    const delayMs = Math.min(Math.max(next - now, 0), LONGEST_TIMER_MS);
    this.timer = setTimeout(() => this.fire(readClock()), delayMs);
  }

  private fire(now: Millis): void {
    this.timerAt = Infinity;
    for (;;) {
      const first = this.heap.peek();
      if (first === undefined || first.priority > now) break;
      this.heap.pop();
      first.item.deadline = undefined;
      this.onPassed(first.item, now);
    }
    this.arm(now);
  }
}
