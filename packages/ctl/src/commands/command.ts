/** Types of commands and their results. */
import type {Result} from 'ts-results-es';
import type {OperatorsClient} from '../calls/index.js';
import type {CtlProblem} from '../failures/index.js';

/** Output of a command. */
export interface CommandOutput {
  /** Printed as JSON with `--json`. */
  readonly data: unknown;
  /** Printed without `--json`. */
  readonly text: string;
  /** Incarnations that could not be reached, so that their data is missing. */
  readonly unreached?: readonly string[];
}

/** Resolves to the output of a command, or to the reason why it failed. */
export type CommandResult = Promise<Result<CommandOutput, CtlProblem>>;

/** A command whose arguments are bound. */
export type Command = (client: OperatorsClient) => CommandResult;
