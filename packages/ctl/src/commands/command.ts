/** What each command is given and gives back. */
import type {Result} from 'ts-results-es';
import type {OperatorsCalls} from '../calls/index.js';
import type {CtlProblem} from '../failures/index.js';

/** What a command prints. */
export interface CommandOutput {
  /** Printed with `--json`. */
  readonly data: unknown;
  /** Printed without. */
  readonly text: string;
  /** Incarnations that could not be asked; the answer lacks their part. */
  readonly unreached?: readonly string[];
}

/** What a command ends with. */
export type CommandResult = Promise<Result<CommandOutput, CtlProblem>>;

/** One command with its arguments filled in. */
export type Command = (calls: OperatorsCalls) => CommandResult;
