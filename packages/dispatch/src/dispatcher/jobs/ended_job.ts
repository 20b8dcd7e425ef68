/** What is reported of a job that has ended. */
import type {Outcome} from '../../work/index.js';

/** A job that has ended, to be reported to the instance that submitted it. */
export interface EndedJob {
  readonly id: string;
  readonly queue: string;
  readonly outcome: Outcome;
  readonly hasStarted: boolean;
}
