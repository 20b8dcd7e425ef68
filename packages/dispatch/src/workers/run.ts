/** One run of one task on one worker. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Need} from '../work/index.js';

/** What is known of a run. */
export enum RunPhase {
  /** The order to start it is on its way. */
  Starting = 'starting',
  /** The worker said that it runs. */
  Running = 'running',
  /** It has to be stopped, or be proved never to start. */
  Stopping = 'stopping',
  /** The worker has taken the order to stop it. */
  StopTaken = 'stop_taken',
}

/** A run that may take up room on a worker. */
export interface Run {
  /** The record of the job that the run belongs to. */
  readonly recordId: string;
  /** The task's name as text. */
  readonly key: string;
  readonly run: number;
  readonly workerId: string;
  readonly need: Need;
  readonly startedAt: Millis;
  /** Expected run time on this worker. */
  readonly expectedMs: Millis;
  /** When it should end, as far as the worker has told of its progress. */
  endsAt: Millis;
  phase: RunPhase;
  /** The zone whose holder runs it, where it was lent. */
  lentTo: string | undefined;
  /** When the worker's answer to the order came; later looks must list it. */
  confirmedAt: Millis;
  /** When a stop order last went out. */
  stopSentAt: Millis;
  /** When a taken stop has surely ended the run. */
  overAt: Millis;
}
