/** The program's exit codes, documented in docs/operators.md. */
import {FailureCode, type Failure} from '@goldcrestpier/protocol';
import {ProblemKind, type CtlProblem} from './problem.js';

/** What the program tells the program that called it. */
export enum ExitCode {
  /** Done. */
  Success = 0,
  /** The command line, a file or the environment is wrong. */
  Usage = 1,
  /** The instance does not answer, or not as expected. */
  Unreachable = 2,
  /** The token is missing or wrong. */
  Unauthorized = 3,
  /** The settings were changed meanwhile; nothing was written. */
  Conflict = 4,
  /** The settings or the request are not valid; nothing was written. */
  Invalid = 5,
  /** There is no such job, session or node. */
  NotFound = 6,
  /** Any other failure that the instance answered with. */
  Refused = 7,
  /** Done, but some instances could not be reached: the answer has gaps. */
  Partial = 8,
}

/** The exit code of a command that did not succeed. */
export function exitCodeOf(problem: CtlProblem): ExitCode {
  switch (problem.kind) {
    case ProblemKind.Usage:
      return ExitCode.Usage;
    case ProblemKind.Unreachable:
      return ExitCode.Unreachable;
    case ProblemKind.Conflict:
      return ExitCode.Conflict;
    case ProblemKind.Refused:
      return exitCodeOfFailure(problem.failure);
  }
}

function exitCodeOfFailure({code}: Failure): ExitCode {
  switch (code) {
    case FailureCode.Unauthorized:
      return ExitCode.Unauthorized;
    case FailureCode.SettingsConflict:
      return ExitCode.Conflict;
    case FailureCode.SettingsInvalid:
    case FailureCode.InvalidRequest:
    case FailureCode.InvalidJson:
    case FailureCode.BodyTooLarge:
      return ExitCode.Invalid;
    case FailureCode.NotFound:
    case FailureCode.JobUnknown:
    case FailureCode.SettingsUnknownNode:
      return ExitCode.NotFound;
    default:
      return ExitCode.Refused;
  }
}
