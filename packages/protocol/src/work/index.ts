/**
 * A task as the owner hands it to placement, and how it ended. These pass
 * between parts of one process; what travels is in the packages at the edges.
 */
import type {Needs} from '../callers/index.js';
import type {Failure} from '../failures/index.js';

/** The two kinds of backend server. */
export enum BackendKind {
  Runner = 'runner',
  Worker = 'worker',
}

/** What a task asks for. */
export type Target =
  | {readonly kind: BackendKind.Runner; readonly service: string}
  | {readonly kind: BackendKind.Worker; readonly needs: Needs};

/** One task on its way to a backend server. */
export interface PlacedTask {
  /** `session/key#index`, unique for ever. */
  readonly id: string;
  /** `session/key`. */
  readonly job: string;
  readonly index: number;
  readonly team: string;
  readonly target: Target;
  readonly declaredMs: number | undefined;
  readonly repeatable: boolean;
  /** Monotonic time of the owner, in milliseconds. */
  readonly deadlineAt: number;
  readonly payload: unknown;
}

/** How a task can end. */
export enum OutcomeKind {
  Done = 'done',
  Failed = 'failed',
}

/** How a task ended. */
export type TaskOutcome =
  | {
      readonly kind: OutcomeKind.Done;
      readonly result: unknown;
      readonly server: string;
      /** From start to answer, in milliseconds. */
      readonly runMs: number;
    }
  | {readonly kind: OutcomeKind.Failed; readonly failure: Failure};
