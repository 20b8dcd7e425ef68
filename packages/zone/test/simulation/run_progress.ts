/** The work of a simulated run that has been done, at a speed that changes. */
import type {Millis} from '@goldcrestpier/runtime';

/** How far a run has come. */
export class RunProgress {
  private doneMs: Millis = 0;

  /** `durationMs` is the time that the run takes at speed 1. */
  constructor(
    readonly durationMs: Millis,
    private speed: number,
    private updatedAt: Millis,
  ) {}

  /** Changes the speed from now on. */
  setSpeed(speed: number, now: Millis): void {
    this.doneMs = this.findDoneMs(now);
    this.updatedAt = now;
    this.speed = speed;
  }

  /** Share of the work that is done, from 0 to 1. */
  findShare(now: Millis): number {
    return Math.min(this.findDoneMs(now) / this.durationMs, 1);
  }

  /** Time until the end at the current speed; undefined at speed 0. */
  findRemainingMs(now: Millis): Millis | undefined {
    if (this.speed === 0) return undefined;
    return Math.max(0, this.durationMs - this.findDoneMs(now)) / this.speed;
  }

  private findDoneMs(now: Millis): Millis {
    return this.doneMs + (now - this.updatedAt) * this.speed;
  }
}
