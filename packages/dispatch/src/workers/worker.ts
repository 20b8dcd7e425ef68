/** Workers as the platform lists them and as they report about themselves. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Need} from '../work/index.js';

/** One worker of the list. */
export interface Worker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** `host:port`. */
  readonly address: string;
  readonly capacity: Need;
  /** Its kind and its rack, and whatever else a step may require. */
  readonly labels: readonly string[];
  /** A leaving worker gets no new tasks. */
  readonly isDraining: boolean;
  /** Unix time of its start in ms: tells one life from the next. */
  /** Workers of one kind are about equally fast; undefined when not told. */
  readonly kind?: string | undefined;
  readonly bornAt: number;
}

/** One run that a worker lists as running. */
export interface RunningEntry {
  /** The task's name as text. */
  readonly task: string;
  readonly run: number;
  /** How much of the work is done, 0 to 100. */
  readonly percent: number;
}

/** How a run ended. */
export enum RunEnd {
  Done = 'done',
  /** Through its own fault or the worker's. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** Its lease ran out. */
  Lapsed = 'lapsed',
  /** Another member of its gang ended. */
  Broken = 'broken',
  /** The others of its gang never came. */
  Alone = 'alone',
}

/** One run that a worker lists as ended. */
export interface EndedEntry {
  /** Counts the ends of one life, from 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
}

/** What a worker says about everything that it runs. */
export interface Look {
  /** The worker's own clock, in ms. */
  readonly clockMs: Millis;
  readonly bornAt: number;
  readonly running: readonly RunningEntry[];
  /** Ends after the last one that was acknowledged. */
  readonly ended: readonly EndedEntry[];
}

/** How a worker answered an order to start a task. */
export enum StartAnswer {
  Started = 'started',
  /** A holder with a higher token has spoken to the worker. */
  Fenced = 'fenced',
  /** The run number is not higher than one that ended there. */
  OldRun = 'old_run',
  /** The lease had already ended on the worker's clock. */
  Late = 'late',
  /** It does not fit beside what runs there. */
  NoRoom = 'no_room',
  /** The worker is busy, unhealthy or leaving; it has done nothing. */
  Unavailable = 'unavailable',
  /** Another life of the worker answers at the address. */
  OtherLife = 'other_life',
  /** The connection was refused: no process listens there. */
  NotListening = 'not_listening',
  /** The order is malformed for the worker; it has done nothing. */
  Rejected = 'rejected',
  /** No answer: the order may be carried out, even later. */
  Unanswered = 'unanswered',
}
