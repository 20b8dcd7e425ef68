/** What a dispatcher wants done. */
import type {JobRecord} from './job_record.js';
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
  /** Undefined for a run that this holder did not start. */
  readonly run: Run | undefined;
}

/** Lends one task to the holder of another zone. */
export interface LendCommand {
  readonly kind: 'lend';
  readonly zone: string;
  readonly run: Run;
  readonly record: JobRecord;
  /** Lent by an earlier holder: only the end of its run is asked for. */
  readonly isAdopted: boolean;
}

/** Takes a lent task back. */
export interface RecallCommand {
  readonly kind: 'recall';
  readonly zone: string;
  /** The task's name as text. */
  readonly key: string;
  /** Undefined for a run that an earlier holder lent and nobody has claimed. */
  readonly run: Run | undefined;
}

/** An order to be carried out. */
export type Order = StartCommand | StopCommand | LendCommand | RecallCommand;
