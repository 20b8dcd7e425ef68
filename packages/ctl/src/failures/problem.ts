/** Errors of commands. */
import type {
  Failure,
  Problem,
  SettingsChange,
  SettingsRevision,
} from '@goldcrestpier/protocol';

/** Kind of error, printed with `--json`. */
export enum ProblemKind {
  Usage = 'usage',
  Unreachable = 'unreachable',
  Refused = 'refused',
  Conflict = 'conflict',
}

/** Why a command failed, with the details that an operator needs to proceed. */
export type CtlProblem =
  | {
      readonly kind: ProblemKind.Usage;
      readonly problem: Problem;
      readonly hint: string;
    }
  | {
      readonly kind: ProblemKind.Unreachable;
      readonly instance: string;
      readonly reason: string;
      /** Whether the request may have been carried out. */
      readonly mayHaveRun: boolean;
    }
  | {readonly kind: ProblemKind.Refused; readonly failure: Failure}
  | {
      readonly kind: ProblemKind.Conflict;
      readonly failure: Failure;
      /** The changes that this edit would have made. */
      readonly mine: readonly SettingsChange[];
      /** The edits that were written before this one, newest first. */
      readonly theirs: readonly SettingsRevision[];
    };

/** Creates the error for an invalid option, argument, file or variable. */
export function createUsageProblem(
  path: string,
  found: string,
  expected: string,
  hint: string,
): CtlProblem {
  return {kind: ProblemKind.Usage, problem: {path, found, expected}, hint};
}
