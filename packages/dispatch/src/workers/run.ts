/** One run of one task on one worker. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';

/** Phase of a run, as far as the holder knows. */
export enum RunPhase {
  /** The start command has been sent. */
  Starting = 'starting',
  /** The worker has confirmed that it runs. */
  Running = 'running',
  /** It has to be stopped, or proved never to start. */
  Stopping = 'stopping',
  /** The worker has confirmed the stop command. */
  StopAccepted = 'stop_taken',
}

/** A run that may use resources on a worker. */
export interface Run {
  /** The ID of the job record that the run belongs to. */
  readonly recordId: string;
  /** The task's name as text. */
  readonly key: string;
  /** Numbers the runs of the task, from 1. */
  readonly number: number;
  readonly workerId: string;
  readonly need: Resources;
  readonly startedAt: Millis;
  /** Expected run time on this worker, in ms. */
  readonly expectedMs: Millis;
  /** When it is expected to end, by its last reported progress. */
  expectedEndAt: Millis;
  phase: RunPhase;
  /** The zone that runs it; undefined if it was not delegated. */
  delegatedTo: string | undefined;
  /** When the worker confirmed the start; later polls must list the run. */
  confirmedAt: Millis;
  /** When a stop command was last sent. */
  stopSentAt: Millis;
  /** When the run has certainly ended, after a stop or with its lease. */
  latestEndAt: Millis;
}
