/** The shape of the catalogue. */
import type {FailureArguments} from './arguments.js';
import type {FailureCode, Ran} from './codes.js';

/** What the catalogue says of one failure. */
export interface FailureEntry<Code extends FailureCode> {
  readonly title: string;
  /** HTTP status of an answer that consists of this failure. */
  readonly status: number;
  readonly ran: Ran;
  /** Whether asking again can never help. */
  readonly final: boolean;
  readonly message: (args: FailureArguments[Code]) => string;
  readonly hint: string;
}

/** Entries for some or all of the codes. */
export type FailureEntries<Code extends FailureCode> = {
  readonly [Each in Code]: FailureEntry<Each>;
};
