/** State of one worker as the holder knows it. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';
import {LossCause, type Run} from './run.js';
import {StartWindow} from './start_window.js';
import {WorkerRequestFailure, type Worker} from './worker.js';

/** The last reading of the worker's clock. */
interface ClockReading {
  readonly workerMs: Millis;
  readonly readAt: Millis;
}

/** Health of a worker, judged by its answers and the ends of its runs. */
export enum Health {
  Healthy = 'good',
  /** Gets no tasks until a given time, then one on probation. */
  Ejected = 'ejected',
  /** Gets one task, whose end decides whether it is healthy again. */
  Probation = 'on_trial',
}

/** Time that a worker takes at least to end and to start again, in ms. */
const MIN_RESTART_MS = 200;

const NO_RESOURCES: Resources = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** A worker with its runs, clock, leases and health. */
export class WorkerRecord {
  /** Numbers of reported runs that no known job has claimed, by task name. */
  readonly orphans = new Map<string, number>();
  /** When the current incarnation became known, if not the first one. */
  incarnationKnownAt: Millis = -Infinity;
  /** When the latest poll was sent that the current incarnation answered. */
  answeredPollSentAt: Millis = -Infinity;
  /** When it answered a poll last. */
  private answeredAt: Millis = -Infinity;
  /** When the poll was sent that waits for its answer, if any does. */
  pendingPollSentAt: Millis | undefined;
  /** Sequence of the last acknowledged end in the current incarnation. */
  lastAckedEnd = 0;
  /** Whether the worker has accepted this holder's fencing token. */
  hasAcceptedToken = false;
  /** Why the last poll failed; undefined if it was answered. */
  pollFailure: WorkerRequestFailure | undefined;
  /** Runs that ended with the worker's leases, until it answers again. */
  unexplainedLosses: readonly Run[] = [];
  /** When every lease granted on the worker has certainly expired. */
  leasesExpireAt: Millis = 0;
  /** The same for leases that the next incarnation may grant late. */
  private lateLeasesExpireAt: Millis = 0;
  health = Health.Healthy;
  ejectedUntil: Millis = 0;
  /** Consecutive ejections; each one doubles the ejection time. */
  ejections = 0;
  /** Strikes for failed tasks and commands, reduced by each success. */
  strikes = 0;
  /** Time until which it gets no tasks because it reported to be full. */
  fullUntil: Millis = 0;
  /** Whether it is slow for a while after its start. */
  isCold = false;
  /** Since when it is not cold any more. */
  warmSince: Millis = -Infinity;
  readonly startWindow = new StartWindow();
  private clock: ClockReading | undefined;
  private readonly running = new Map<string, Run>();
  private usedResources = NO_RESOURCES;
  /** Number of runs there that no other may join. */
  private isolatedRuns = 0;

  /** `bornAt` of its latest entry, which may be that of a former incarnation. */
  listedBornAt: number;

  constructor(public info: Worker) {
    this.listedBornAt = info.bornAt;
  }

  /** Whether the last poll went unanswered. */
  get isUnresponsive(): boolean {
    return this.pollFailure !== undefined;
  }

  /** Why runs there are lost if their leases expire now. */
  get lossCause(): LossCause {
    switch (this.pollFailure) {
      case WorkerRequestFailure.NotListening:
        return LossCause.NotListening;
      case WorkerRequestFailure.OtherIncarnation:
        return LossCause.Restarted;
      case WorkerRequestFailure.Fenced:
      case WorkerRequestFailure.Refused:
      case WorkerRequestFailure.Unanswered:
      case undefined:
        return LossCause.Unresponsive;
    }
  }

  /** Runs that go on or may go on there, by task name. */
  get runs(): ReadonlyMap<string, Run> {
    return this.running;
  }

  /** Whether the worker can be given a task now. */
  isUsable(now: Millis): boolean {
    if (!this.hasAcceptedToken || this.isUnresponsive || this.info.isDraining)
      return false;
    // A new incarnation may have less capacity than its former entry says.
    if (this.listedBornAt !== this.info.bornAt) return false;
    if (now < this.fullUntil) return false;
    // A start command would also extend the lease of the orphaned runs.
    if (this.orphans.size > 0) return false;
    if (this.isolatedRuns > 0) return false;
    switch (this.health) {
      case Health.Healthy:
        return true;
      case Health.Ejected:
        return now >= this.ejectedUntil;
      case Health.Probation:
        return this.runs.size === 0;
    }
  }

  /** Returns the free processors, memory and accelerators. */
  computeFreeResources(): Resources {
    const {capacity} = this.info;
    const {usedResources} = this;
    return {
      cpuMillis: capacity.cpuMillis - usedResources.cpuMillis,
      memoryMb: capacity.memoryMb - usedResources.memoryMb,
      accelerators: capacity.accelerators - usedResources.accelerators,
    };
  }

  /**
   * Whether all leases on the worker have expired, so that every run that it
   * has confirmed is over.
   */
  areLeasesOver(now: Millis): boolean {
    return this.isUnresponsive && now >= this.leasesExpireAt;
  }

  /**
   * Whether a run is over when the worker's leases are. The lease of a start
   * command names a time on the clock of the incarnation that is known here. If
   * the worker has restarted unnoticed, its new clock proves nothing about a
   * command that it may execute late. An answer of the same incarnation to a
   * poll that was sent after the command shows that it has not.
   */
  isBoundByLease({confirmedAt, startUnansweredAt, workerBornAt}: Run): boolean {
    if (confirmedAt !== Infinity) return true;
    if (workerBornAt !== this.info.bornAt) return false;
    return this.answeredPollSentAt >= startUnansweredAt;
  }

  /** Records the answer of the current incarnation to a poll. */
  recordAnswer(pollSentAt: Millis, now: Millis): void {
    this.answeredPollSentAt = Math.max(this.answeredPollSentAt, pollSentAt);
    this.answeredAt = now;
  }

  /**
   * Whether the process that answered last is there still: it takes a process
   * some time to start, and its end ends a poll that waits for an answer.
   */
  isProcessKnown(now: Millis): boolean {
    const askedAt = this.pendingPollSentAt ?? now;
    return askedAt - this.answeredAt <= MIN_RESTART_MS;
  }

  /** Adds a run, which replaces an earlier run of its task. */
  addRun(run: Run): void {
    this.removeRun(run.key);
    if (this.running.size > 0) {
      run.isShared = true;
      for (const other of this.running.values()) other.isShared = true;
    }
    this.running.set(run.key, run);
    if (run.isIsolated) this.isolatedRuns += 1;
    this.usedResources = addResources(this.usedResources, run.need, 1);
  }

  /** Removes the run of a task. */
  removeRun(key: string): void {
    const run = this.running.get(key);
    if (run === undefined) return;
    this.running.delete(key);
    this.startWindow.remove(run);
    if (run.isIsolated) this.isolatedRuns -= 1;
    this.usedResources = addResources(this.usedResources, run.need, -1);
  }

  /** Records the worker's clock from an answer. */
  recordClock(workerMs: Millis, now: Millis): void {
    this.clock = {workerMs, readAt: now};
  }

  /** Age of the last clock reading, in ms; 0 before any answer. */
  computeClockAge(now: Millis): Millis {
    return this.clock === undefined ? 0 : now - this.clock.readAt;
  }

  /**
   * Estimates the worker's clock now; undefined before any answer. A slow clock
   * may have fallen behind this estimate since it was read.
   */
  estimateClock(now: Millis): Millis | undefined {
    if (this.clock === undefined) return undefined;
    return this.clock.workerMs + (now - this.clock.readAt);
  }

  /**
   * Whether no run, known or orphaned, can go on there any more. The confirmed
   * runs of an unresponsive worker end when their leases expire.
   */
  canBeRemoved(now: Millis): boolean {
    if (this.runs.size > 0 || now < this.leasesExpireAt) return false;
    return this.isUnresponsive || this.orphans.size === 0;
  }

  /**
   * Records that a command which names a lease got no answer. On the clock of
   * the next incarnation that lease is valid whenever it executes the command;
   * a run under it ends by `expiresAt`.
   */
  recordUnansweredLease(expiresAt: Millis): void {
    this.lateLeasesExpireAt = Math.max(this.lateLeasesExpireAt, expiresAt);
    // It was meant for the incarnation before the one that has become known.
    const isOutdated = this.isRestarted && !this.hasAcceptedToken;
    if (isOutdated) this.applyLateLeases();
  }

  /** When leases that the next incarnation may grant late have expired. */
  get lateLeasesEndAt(): Millis {
    return this.lateLeasesExpireAt;
  }

  private get isRestarted(): boolean {
    return this.incarnationKnownAt !== -Infinity;
  }

  private applyLateLeases(): void {
    this.leasesExpireAt = Math.max(
      this.leasesExpireAt,
      this.lateLeasesExpireAt,
    );
  }

  /** Begins a new incarnation, whose runs are known after its next poll. */
  beginIncarnation(now: Millis): void {
    this.applyLateLeases();
    this.incarnationKnownAt = now;
    this.answeredPollSentAt = -Infinity;
    this.answeredAt = -Infinity;
    this.lastAckedEnd = 0;
    this.clock = undefined;
    this.hasAcceptedToken = false;
  }
}

function addResources(
  base: Resources,
  change: Resources,
  sign: 1 | -1,
): Resources {
  return {
    cpuMillis: base.cpuMillis + sign * change.cpuMillis,
    memoryMb: base.memoryMb + sign * change.memoryMb,
    accelerators: base.accelerators + sign * change.accelerators,
  };
}
