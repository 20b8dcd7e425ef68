/**
 * A task under a lease. Its simulated work advances at a rate that can be
 * throttled, and ends early if the lease expires or the task is stopped.
 */
import {readClock, sleep} from '@goldcrestpier/runtime';

/** State of a leased task. */
export enum LeaseState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Expired = 'lapsed',
}

/** Options of a `Lease`. */
export interface LeaseOptions {
  readonly leaseMs: number;
  /** Run time of the work at the full rate, in milliseconds. */
  readonly runMs: number;
  /** Whether the task fails once its work is complete. */
  readonly isFailing: boolean;
  /** Called once, however the task ends. */
  readonly onEnd: () => void;
}

/** A task under a lease. */
export class Lease {
  private currentState = LeaseState.Running;
  private remainingMs: number;
  private rate = 1;
  private resumedAt = readClock();
  private workTimer: NodeJS.Timeout | undefined;
  private leaseTimer: NodeJS.Timeout | undefined;
  private readonly endController = new AbortController();

  constructor(private readonly options: LeaseOptions) {
    this.remainingMs = options.runMs;
    this.scheduleCompletion();
    this.renew(options.leaseMs);
  }

  /** Current state of the task. */
  get state(): LeaseState {
    return this.currentState;
  }

  /** Completed part of the work, from 0 to 1. */
  get progress(): number {
    this.updateRemainingMs();
    if (this.options.runMs === 0) return 1;
    return 1 - this.remainingMs / this.options.runMs;
  }

  /** Extends the lease to `leaseMs` from now; no effect after the end. */
  renew(leaseMs: number): void {
    if (this.currentState !== LeaseState.Running) return;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.end(LeaseState.Expired), leaseMs);
  }

  /** Sets the rate of the work, from 0 (suspended) to 1 (full). */
  throttle(rate: number): void {
    if (this.currentState !== LeaseState.Running) return;
    this.updateRemainingMs();
    this.rate = rate;
    this.scheduleCompletion();
  }

  /** Stops the task; no effect after its end. */
  stop(): void {
    this.end(LeaseState.Stopped);
  }

  /** Resolves at the end of the task, or after `waitMs`. */
  waitForEnd(waitMs: number): Promise<void> {
    return sleep(waitMs, this.endController.signal);
  }

  private updateRemainingMs(): void {
    const now = readClock();
    const doneMs = (now - this.resumedAt) * this.rate;
    this.remainingMs = Math.max(this.remainingMs - doneMs, 0);
    this.resumedAt = now;
  }

  private scheduleCompletion(): void {
    clearTimeout(this.workTimer);
    if (this.rate === 0) return;
    const state = this.options.isFailing ? LeaseState.Failed : LeaseState.Done;
    this.workTimer = setTimeout(
      () => this.end(state),
      this.remainingMs / this.rate,
    );
  }

  private end(state: LeaseState): void {
    if (this.currentState !== LeaseState.Running) return;
    this.currentState = state;
    clearTimeout(this.workTimer);
    clearTimeout(this.leaseTimer);
    this.endController.abort();
    this.options.onEnd();
  }
}
