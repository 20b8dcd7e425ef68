/**
 * One task under a lease. Its pretended work goes on at a rate that can be
 * throttled, and ends when the lease lapses or the task is stopped.
 */
import {readClock, sleep} from '@goldcrestpier/runtime';

/** Where a leased task stands. */
export enum LeaseState {
  Running = 'running',
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Lapsed = 'lapsed',
}

/** What a lease is made with. */
export interface LeaseTerms {
  readonly leaseMs: number;
  /** Time the work takes while it is not throttled, in milliseconds. */
  readonly runMs: number;
  /** Whether the task fails when its work is over. */
  readonly fails: boolean;
  /** Called once, when the task ends in whatever way. */
  readonly onEnd: () => void;
}

/** One task under a lease. */
export class Lease {
  private current = LeaseState.Running;
  private leftMs: number;
  private share = 1;
  private resumedAt = readClock();
  private workTimer: NodeJS.Timeout | undefined;
  private leaseTimer: NodeJS.Timeout | undefined;
  private readonly over = new AbortController();

  constructor(private readonly terms: LeaseTerms) {
    this.leftMs = terms.runMs;
    this.scheduleEnd();
    this.renew(terms.leaseMs);
  }

  /** Where the task stands. */
  get state(): LeaseState {
    return this.current;
  }

  /** The part of the work that is done, from 0 to 1. */
  get progress(): number {
    this.countWork();
    if (this.terms.runMs === 0) return 1;
    return 1 - this.leftMs / this.terms.runMs;
  }

  /** Lets the lease last `leaseMs` from now, while the task runs. */
  renew(leaseMs: number): void {
    if (this.current !== LeaseState.Running) return;
    clearTimeout(this.leaseTimer);
    this.leaseTimer = setTimeout(() => this.end(LeaseState.Lapsed), leaseMs);
  }

  /** Lets the work go on at `share` of its full rate; 0 holds it. */
  throttle(share: number): void {
    if (this.current !== LeaseState.Running) return;
    this.countWork();
    this.share = share;
    this.scheduleEnd();
  }

  /** Stops the task; nothing happens when it has ended. */
  stop(): void {
    this.end(LeaseState.Stopped);
  }

  /** Waits for the end of the task, at most `waitMs`. */
  waitForEnd(waitMs: number): Promise<void> {
    return sleep(waitMs, this.over.signal);
  }

  private countWork(): void {
    const now = readClock();
    const doneMs = (now - this.resumedAt) * this.share;
    this.leftMs = Math.max(this.leftMs - doneMs, 0);
    this.resumedAt = now;
  }

  private scheduleEnd(): void {
    clearTimeout(this.workTimer);
    if (this.share === 0) return;
    const state = this.terms.fails ? LeaseState.Failed : LeaseState.Done;
    this.workTimer = setTimeout(
      () => this.end(state),
      this.leftMs / this.share,
    );
  }

  private end(state: LeaseState): void {
    if (this.current !== LeaseState.Running) return;
    this.current = state;
    clearTimeout(this.workTimer);
    clearTimeout(this.leaseTimer);
    this.over.abort();
    this.terms.onEnd();
  }
}
