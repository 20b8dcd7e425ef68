/** Why a command did not succeed. */
import type {
  Failure,
  Problem,
  SettingsChange,
  SettingsRevision,
} from '@goldcrestpier/protocol';

/** Why a command did not succeed. */
export enum ProblemKind {
  Usage = 'usage',
  Unreachable = 'unreachable',
  Refused = 'refused',
  Conflict = 'conflict',
}

/** Why a command did not succeed, with what a person needs to go on. */
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
      /** What this edit wanted to change. */
      readonly mine: readonly SettingsChange[];
      /** The edits that came before, newest first. */
      readonly theirs: readonly SettingsRevision[];
    };

/** A wrong command line, file or environment. */
export function createUsageProblem(
  path: string,
  found: string,
  expected: string,
  hint: string,
): CtlProblem {
  return {kind: ProblemKind.Usage, problem: {path, found, expected}, hint};
}
