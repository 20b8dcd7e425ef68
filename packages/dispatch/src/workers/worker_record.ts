/** What the holder knows of one worker. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Need} from '../work/index.js';
import type {Run} from './run.js';
import type {Worker} from './worker.js';

/** The worker's clock as last told. */
interface ClockReading {
  readonly workerMs: Millis;
  readonly readAt: Millis;
}

/** Whether a worker may be given tasks, as far as its answers tell. */
export enum Health {
  Good = 'good',
  /** Left alone until a time, then tried with one task. */
  Ejected = 'ejected',
  /** One task tells whether it is good again. */
  OnTrial = 'on_trial',
}

const NO_NEED: Need = {cpuMillis: 0, memoryMb: 0, accelerators: 0};

/** A worker, what runs there and how it has behaved. */
export class WorkerRecord {
  /** Runs that this holder knows nothing of, by the task's name. */
  readonly orphans = new Map<string, number>();
  /** When the present life became known, where it isn't the first. */
  lifeKnownAt: Millis = -Infinity;
  /** Last acknowledged end of the present life. */
  lastSeen = 0;
  /** Whether this holder's token has been shown there. */
  isHeld = false;
  /** Whether the last look went unanswered. */
  isSilent = false;
  /** When every lease that this holder gave there has surely ended. */
  leasesOverAt: Millis = 0;
  health = Health.Good;
  ejectedUntil: Millis = 0;
  /** Ejections in a row; the time grows with them. */
  ejections = 0;
  /** Failed tasks, unanswered or refused orders since the last good end. */
  strikes = 0;
  /** Until when nothing is offered because the worker said it is full. */
  fullUntil: Millis = 0;
  private clock: ClockReading | undefined;
  private readonly running = new Map<string, Run>();
  private used = NO_NEED;

  constructor(public info: Worker) {}

  /** What runs or may run there, by the task's name. */
  get runs(): ReadonlyMap<string, Run> {
    return this.running;
  }

  /** Whether the worker can be given a task now. */
  isUsable(now: Millis): boolean {
    if (!this.isHeld || this.isSilent || this.info.isDraining) return false;
    if (now < this.fullUntil) return false;
    // A start would lease what nobody has claimed there as well.
    if (this.orphans.size > 0) return false;
    switch (this.health) {
      case Health.Good:
        return true;
      case Health.Ejected:
        return now >= this.ejectedUntil;
      case Health.OnTrial:
        return this.runs.size === 0;
    }
  }

  /** Free processors, memory and accelerators. */
  free(): Need {
    const {capacity} = this.info;
    const {used} = this;
    return {
      cpuMillis: capacity.cpuMillis - used.cpuMillis,
      memoryMb: capacity.memoryMb - used.memoryMb,
      accelerators: capacity.accelerators - used.accelerators,
    };
  }

  /** Puts a run on the worker. */
  addRun(run: Run): void {
    this.removeRun(run.key);
    this.running.set(run.key, run);
    this.used = sumNeeds(this.used, run.need, 1);
  }

  /** Takes a run off the worker. */
  removeRun(key: string): void {
    const run = this.running.get(key);
    if (run === undefined) return;
    this.running.delete(key);
    this.used = sumNeeds(this.used, run.need, -1);
  }

  /** Notes the clock that came with an answer. */
  readClock(workerMs: Millis, now: Millis): void {
    this.clock = {workerMs, readAt: now};
  }

  /** How long ago the worker's clock was read; 0 before any answer. */
  clockAgeAt(now: Millis): Millis {
    return this.clock === undefined ? 0 : now - this.clock.readAt;
  }

  /**
   * The worker's clock now, undefined before any answer. A slow clock may have
   * fallen behind this since it was read.
   */
  clockAt(now: Millis): Millis | undefined {
    if (this.clock === undefined) return undefined;
    return this.clock.workerMs + (now - this.clock.readAt);
  }

  /**
   * Whether nothing can run there any more: neither what this holder knows of
   * nor what has a lease of its own. What is silent ends with its lease.
   */
  isForgettable(now: Millis): boolean {
    if (this.runs.size > 0 || now < this.leasesOverAt) return false;
    return this.isSilent || this.orphans.size === 0;
  }

  /** Begins a new life, of which only a look tells what runs there. */
  beginLife(now: Millis): void {
    this.lifeKnownAt = now;
    this.lastSeen = 0;
    this.clock = undefined;
    this.isHeld = false;
  }
}

function sumNeeds(base: Need, need: Need, sign: 1 | -1): Need {
  return {
    cpuMillis: base.cpuMillis + sign * need.cpuMillis,
    memoryMb: base.memoryMb + sign * need.memoryMb,
    accelerators: base.accelerators + sign * need.accelerators,
  };
}
