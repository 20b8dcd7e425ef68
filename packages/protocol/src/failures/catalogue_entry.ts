/** Types of the failure catalogue. */
import type {FailureArguments} from './arguments.js';
import type {FailureCode, RunStatus} from './codes.js';

/** The catalogue entry of one failure code. */
export interface FailureEntry<Code extends FailureCode> {
  readonly title: string;
  /** HTTP status code of a response that consists of this failure. */
  readonly status: number;
  readonly ran: RunStatus;
  /** Whether retrying can never succeed. */
  readonly final: boolean;
  readonly message: (args: FailureArguments[Code]) => string;
  readonly hint: string;
}

/** One entry for each of the codes in `Code`. */
export type FailureEntries<Code extends FailureCode> = {
  readonly [Each in Code]: FailureEntry<Each>;
};
