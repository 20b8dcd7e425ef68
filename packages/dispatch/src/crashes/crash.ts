/** Crashes of workers, as instances report them to each other. */
import type {Millis} from '@goldcrestpier/runtime';

/** A crash of a worker while a run of a task was there. */
export interface Crash {
  /** The task's name as text. */
  readonly task: string;
  readonly workerId: string;
  /** Unix time at which the worker's crashed incarnation started, in ms. */
  readonly workerBornAt: number;
  /** Whether the task shared the worker with others, which may be the cause. */
  readonly isShared: boolean;
}

/** A crash as told to another instance; instances don't share a clock. */
export interface CrashReport extends Crash {
  /** Time since the crash became known, in ms. */
  readonly ageMs: Millis;
}

/** What the known crashes say about a task. */
export enum CrashVerdict {
  /** No worker has crashed under it. */
  Harmless = 'harmless',
  /** It may have crashed a worker; it runs alone from then on. */
  Suspected = 'suspected',
  /** It has crashed workers and is not started again. */
  Crashing = 'crashing',
}
