/**
 * Tasks as passed from the session owner to placement, and their outcomes.
 * These types are used within one process only; the messages between processes
 * are defined in the packages that send them.
 */
import type {Needs} from '../callers/index.js';
import type {Failure} from '../failures/index.js';

/** The kinds of backend server. */
export enum BackendKind {
  Runner = 'runner',
  Worker = 'worker',
}

/** The service or the worker resources that a task requires. */
export type Target =
  | {readonly kind: BackendKind.Runner; readonly service: string}
  | {readonly kind: BackendKind.Worker; readonly needs: Needs};

/** A task to be placed on a backend server. */
export interface PlacementTask {
  /** `session/key#index`, globally unique and never reused. */
  readonly id: string;
  /** Id of the job, `session/key`. */
  readonly job: string;
  readonly index: number;
  readonly team: string;
  readonly target: Target;
  readonly declaredMs: number | undefined;
  readonly repeatable: boolean;
  /** Deadline on the owner's monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
  readonly payload: unknown;
}

/** The kinds of task outcome. */
export enum OutcomeKind {
  Done = 'done',
  Failed = 'failed',
}

/** Outcome of a task. */
export type TaskOutcome =
  | {
      readonly kind: OutcomeKind.Done;
      readonly result: unknown;
      readonly server: string;
      /** Time from the start to the reply, in milliseconds. */
      readonly runMs: number;
    }
  | {readonly kind: OutcomeKind.Failed; readonly failure: Failure};
