/** Commands of a dispatcher, which its holder executes. */
import type {JobRecord} from './jobs/index.js';
import type {Run} from '../workers/index.js';

/** Starts a run on a worker. */
export interface StartCommand {
  readonly kind: 'start';
  readonly run: Run;
  readonly payload: string;
}

/** Stops a run on a worker. */
export interface StopCommand {
  readonly kind: 'stop';
  readonly workerId: string;
  readonly key: string;
  readonly runNumber: number;
  /** Undefined for an orphaned run, which this holder did not start. */
  readonly run: Run | undefined;
}

/** Delegates one task to the holder of another zone. */
export interface DelegateCommand {
  readonly kind: 'lend';
  readonly zone: string;
  readonly run: Run;
  readonly record: JobRecord;
  /** Whether an earlier holder delegated it: only its result is requested. */
  readonly isAdopted: boolean;
}

/** Recalls a delegated task, so that the other zone stops it. */
export interface RecallCommand {
  readonly kind: 'recall';
  readonly zone: string;
  /** The task's name as text. */
  readonly key: string;
  readonly runNumber: number;
  /** Undefined for a run of an earlier holder that no job has claimed. */
  readonly run: Run | undefined;
}

/** A command to be executed. */
export type Command =
  StartCommand | StopCommand | DelegateCommand | RecallCommand;
