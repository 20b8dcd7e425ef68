/** Calls an instance's step when one is due, and at once when something comes. */
import {readClock, type Lifecycle, type Millis} from '@goldcrestpier/runtime';
import type {LoopDelay} from './loop_delay.js';

/** What a stepper needs. */
export interface StepperOptions {
  /** Does what is due; returns how long it may be until the next step, in ms. */
  readonly step: (now: Millis) => Millis;
  readonly delay: LoopDelay;
  readonly lifecycle: Lifecycle;
}

/** Keeps one timer for the next step. */
export class Stepper {
  private timer: NodeJS.Timeout | undefined;
  private dueAt: Millis = Infinity;
  private isDue = false;

  constructor(private readonly options: StepperOptions) {}

  /** Steps from now on, until the life cycle closes. */
  start(): void {
    this.options.lifecycle.own('steps', () => {
      clearTimeout(this.timer);
      this.isDue = true;
    });
    this.wake();
  }

  /** Steps once in this turn of the event loop, after what has arrived is read. */
  wake(): void {
    if (this.isDue) return;
    this.isDue = true;
    clearTimeout(this.timer);
    setImmediate(() => {
      if (this.options.lifecycle.signal.aborted) return;
      this.isDue = false;
      this.plan(this.options.step(readClock()));
    });
  }

  private plan(waitMs: Millis): void {
    // The step itself may have asked for the next one.
    if (this.isDue) return;
    this.dueAt = readClock() + waitMs;
    this.timer = setTimeout(() => {
      this.options.delay.note(readClock(), this.dueAt);
      this.wake();
    }, waitMs);
  }
}
