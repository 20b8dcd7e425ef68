/** Workers as the platform lists them, and their answers to the holder. */
import type {Millis} from '@goldcrestpier/runtime';
import type {Resources} from '../work/index.js';

/** One listed worker. */
export interface Worker {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** `host:port`. */
  readonly address: string;
  readonly capacity: Resources;
  /** Its kind, its rack, and any other label that a step may require. */
  readonly labels: readonly string[];
  /** Whether it is leaving; a draining worker gets no new tasks. */
  readonly isDraining: boolean;
  /** Workers of one kind are about equally fast; undefined if not reported. */
  readonly kind?: string | undefined;
  /** Unix time of its start in ms, which identifies its incarnation. */
  readonly bornAt: number;
  /** Until when it is slow after a start; undefined if it is not cold. */
  readonly coldUntil?: Millis | undefined;
}

/** One run that a worker reports as running. */
export interface RunningEntry {
  /** The task's name as text. */
  readonly task: string;
  readonly run: number;
  /** Progress of the run, 0 to 100. */
  readonly percent: number;
}

/** How a run ended. */
export enum RunEnd {
  Done = 'done',
  /** The task or the worker failed. */
  Failed = 'failed',
  Stopped = 'stopped',
  /** Its lease expired. */
  LeaseExpired = 'lapsed',
  /** Another task of its gang, whose tasks run together, has ended. */
  GangMemberEnded = 'broken',
  /** The other tasks of its gang never started. */
  GangIncomplete = 'alone',
}

/** One run that a worker reports as ended. */
export interface EndedEntry {
  /** Counts the ended runs of one incarnation, from 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
}

/** A worker's answer to a poll: the state of all of its runs. */
export interface WorkerReport {
  /** The worker's own clock, in ms. */
  readonly clockMs: Millis;
  readonly bornAt: number;
  readonly running: readonly RunningEntry[];
  /** Ended runs after the last one that was acknowledged. */
  readonly ended: readonly EndedEntry[];
}

/** A worker's answer to a start command. */
export enum StartAnswer {
  Started = 'started',
  /** The worker has accepted a higher fencing token from another holder. */
  Fenced = 'fenced',
  /** The run number is not higher than that of a run that ended there. */
  StaleRun = 'old_run',
  /** The lease had already expired by the worker's clock. */
  Late = 'late',
  /** The task does not fit beside the current runs. */
  NoRoom = 'no_room',
  /** The worker is busy, unhealthy or leaving; the task has not started. */
  Unavailable = 'unavailable',
  /** Another incarnation of the worker answers at the address. */
  OtherIncarnation = 'other_life',
  /** The connection was refused; no process listens there. */
  NotListening = 'not_listening',
  /** The command waited too long for others to be answered; it was not sent. */
  NotSent = 'not_sent',
  /** The worker rejected the command as malformed; it has not started. */
  Rejected = 'rejected',
  /** No answer; the command may still be executed, even later. */
  Unanswered = 'unanswered',
}

/** Why a request to poll a worker or to stop a run failed. */
export enum WorkerRequestFailure {
  /** The worker has seen a higher token. */
  Fenced = 'fenced',
  /** Another incarnation of the worker answers at the address. */
  OtherIncarnation = 'other_life',
  /** The connection was refused. */
  NotListening = 'not_listening',
  /** The worker answered with an error or an invalid response. */
  Refused = 'refused',
  /** No response arrived within the timeout. */
  Unanswered = 'unanswered',
}
