/** Runs an instance's step periodically, and at once when it is woken. */
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import type {LoopDelay} from './loop_delay.js';

/** Dependencies of a step scheduler. */
export interface StepSchedulerOptions {
  /** Runs one step; returns the time until the next one, in ms. */
  readonly step: (now: Millis) => Millis;
  readonly loopDelay: LoopDelay;
  readonly lifecycle: Lifecycle;
}

/** Keeps one timer for the next step. */
export class StepScheduler {
  private timer: NodeJS.Timeout | undefined;
  private dueAt: Millis = Infinity;
  private isStepPending = false;

  constructor(private readonly options: StepSchedulerOptions) {}

  /** Runs steps until the life cycle closes. */
  start(): void {
    this.options.lifecycle.own('steps', () => {
      clearTimeout(this.timer);
      this.isStepPending = true;
    });
    this.wake();
  }

  /** Runs a step in this turn of the event loop, after input has been read. */
  wake(): void {
    if (this.isStepPending) return;
    this.isStepPending = true;
    clearTimeout(this.timer);
    setImmediate(() => {
      if (this.options.lifecycle.signal.aborted) return;
      this.isStepPending = false;
      this.schedule(this.options.step(readClock()));
    });
  }

  private schedule(waitMs: Millis): void {
    // The step itself may have called `wake`.
    if (this.isStepPending) return;
    this.dueAt = readClock() + waitMs;
    this.timer = setTimeout(() => {
      this.options.loopDelay.record(readClock(), this.dueAt);
      this.wake();
    }, waitMs);
  }
}
