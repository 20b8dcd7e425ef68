/** One process of a simulated worker. */
import type {Resources, RunEnd, WorkerReport} from '@goldcrestpier/dispatch';
import type {Millis} from '@goldcrestpier/runtime';
import type {ActiveRun} from './checker.js';
import type {Random} from './random.js';
import type {RunProgress} from './run_progress.js';
import type {ScheduledEvent} from './scheduler.js';
import {SIMULATION_START_MS} from './simulated_time.js';

/** What a process of a worker offers; the next one may be of another kind. */
export interface WorkerKind {
  readonly labels: readonly string[];
  readonly capacity: Resources;
}

/** A run in a process. */
export interface SimulatedRun extends ActiveRun {
  readonly needMillis: number;
  readonly progress: RunProgress;
  readonly outcome: RunEnd;
  /** Its end by itself; undefined while the worker stands still. */
  endEvent: ScheduledEvent | undefined;
  isStopping: boolean;
}

/** A poll that waits for the end of a run. */
export interface PendingPoll {
  readonly answer: (status: WorkerReport) => void;
  readonly timer: ScheduledEvent;
}

/** State of a worker process; it is lost when the process exits. */
export class WorkerProcess {
  readonly bornAt: number;
  readonly running = new Map<string, SimulatedRun>();
  /** The highest run number of each task that has ended or was stopped here. */
  readonly lastRuns = new Map<string, number>();
  /** Ended runs that no poll has acknowledged yet. */
  ends: WorkerReport['ended'][number][] = [];
  sequence = 0;
  token = 0;
  leaseUntil: Millis = 0;
  polls: PendingPoll[] = [];
  /** Rate of its clock, and the simulated time at which that showed 0. */
  readonly clockRate: number;
  readonly clockZero: Millis;
  hasExited = false;
  isDraining = false;

  constructor(
    now: Millis,
    random: Random,
    readonly kind: WorkerKind,
  ) {
    this.bornAt = SIMULATION_START_MS + Math.floor(now);
    this.clockRate = random.between(0.98, 1);
    this.clockZero = now;
  }

  /** What its clock shows at a simulated time. */
  clockAt(now: Millis): Millis {
    return (now - this.clockZero) * this.clockRate;
  }

  /** The simulated time at which its clock shows `clock`. */
  findTime(clock: Millis): Millis {
    return this.clockZero + clock / this.clockRate;
  }
}
